import test from 'ava';
import type {CacheEventPage} from '../engine.js';
import {PrefixIndex} from '../prefix-index.js';

const stored = (sequence: number, ...hashes: string[]): CacheEventPage => ({incarnation: 'i', last: sequence, events: [{sequence, kind: 'stored', hashes}]});

const cases: Array<{name: string; pages: CacheEventPage[]; depth: number; resync: boolean}> = [
	{
		name: 'stored prefixes are found', pages: [stored(1, 'a', 'b')], depth: 2, resync: false,
	},
	{
		name: 'a repeated page changes nothing', pages: [stored(1, 'a', 'b'), stored(1, 'a', 'b')], depth: 2, resync: false,
	},
	{
		name: 'a gap asks for a resync and keeps what is known', pages: [stored(1, 'a'), stored(4, 'b')], depth: 2, resync: true,
	},
	{
		name: 'events lost at the end ask for a resync', pages: [stored(1, 'a'), {incarnation: 'i', last: 9, events: []}], depth: 1, resync: true,
	},
	{
		name: 'removed prefixes are forgotten',
		pages: [stored(1, 'a', 'b'), {incarnation: 'i', last: 2, events: [{sequence: 2, kind: 'removed', hashes: ['b']}]}],
		depth: 1,
		resync: false,
	},
	{
		name: 'a cleared cache is forgotten', pages: [stored(1, 'a', 'b'), {incarnation: 'i', last: 2, events: [{sequence: 2, kind: 'cleared'}]}], depth: 0, resync: false,
	},
	{
		name: 'a restarted engine holds nothing of before', pages: [stored(1, 'a', 'b'), {incarnation: 'j', last: 0, events: []}], depth: 0, resync: false,
	},
];

for (const {name, pages, depth, resync} of cases) {
	test(name, t => {
		const index = new PrefixIndex();
		for (const page of pages) {
			index.applyEvents('engine-1', page);
		}

		t.is(index.matchLength('engine-1', ['a', 'b', 'c']), depth);
		t.deepEqual(index.longestMatchEngines(['a', 'b', 'c'], 2, 0), depth > 0 ? ['engine-1'] : []);
		t.deepEqual(index.toResync, resync ? ['engine-1'] : []);

		index.applySnapshot('engine-1', {incarnation: 'k', last: 20, hashes: ['a']});
		t.is(index.matchLength('engine-1', ['a', 'b', 'c']), 1);
		t.deepEqual(index.toResync, []);
	});
}
