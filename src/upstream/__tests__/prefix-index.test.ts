import test from 'ava';
import type {CacheEventPage} from '../engine.js';
import {PrefixIndex} from '../prefix-index.js';

const stored = (sequence: number, ...hashes: string[]): CacheEventPage => ({incarnation: 'i', last: sequence, events: [{sequence, kind: 'stored', hashes}]});

const cases: Array<{name: string; pages: CacheEventPage[]; matchLength: number; needsResync: boolean}> = [
	{
		name: 'stored prefixes match', pages: [stored(1, 'a', 'b')], matchLength: 2, needsResync: false,
	},
	{
		name: 'a repeated page changes nothing', pages: [stored(1, 'a', 'b'), stored(1, 'a', 'b')], matchLength: 2, needsResync: false,
	},
	{
		name: 'a gap in the events causes a resync and keeps the indexed prefixes', pages: [stored(1, 'a'), stored(4, 'b')], matchLength: 2, needsResync: true,
	},
	{
		name: 'events missing at the end of a page cause a resync', pages: [stored(1, 'a'), {incarnation: 'i', last: 9, events: []}], matchLength: 1, needsResync: true,
	},
	{
		name: 'removed prefixes no longer match',
		pages: [stored(1, 'a', 'b'), {incarnation: 'i', last: 2, events: [{sequence: 2, kind: 'removed', hashes: ['b']}]}],
		matchLength: 1,
		needsResync: false,
	},
	{
		name: 'no prefix matches after the cache was cleared', pages: [stored(1, 'a', 'b'), {incarnation: 'i', last: 2, events: [{sequence: 2, kind: 'cleared'}]}], matchLength: 0, needsResync: false,
	},
	{
		name: 'prefixes of an earlier incarnation do not match after a restart', pages: [stored(1, 'a', 'b'), {incarnation: 'j', last: 0, events: []}], matchLength: 0, needsResync: false,
	},
];

for (const {name, pages, matchLength, needsResync} of cases) {
	test(name, t => {
		const index = new PrefixIndex();
		for (const page of pages) {
			index.applyEvents('engine-1', page);
		}

		t.is(index.matchLength('engine-1', ['a', 'b', 'c']), matchLength);
		t.deepEqual(index.longestMatchEngines(['a', 'b', 'c'], 2, 0), matchLength > 0 ? ['engine-1'] : []);
		t.deepEqual(index.toResync, needsResync ? ['engine-1'] : []);

		index.applySnapshot('engine-1', {incarnation: 'k', last: 20, hashes: ['a']});
		t.is(index.matchLength('engine-1', ['a', 'b', 'c']), 1);
		t.deepEqual(index.toResync, []);
	});
}
