import test from 'ava';
import type {LoadReport} from '../engine.js';
import {type InFlight, LoadView} from '../load-view.js';
import {RateLearning} from '../rate-learning.js';

const report = (changes: Partial<LoadReport>): LoadReport => ({
	sequence: 1, incarnation: 'i', age: 0, running: 0, waiting: 0, pendingPromptTokens: 0, freeBlocks: 1000, totalBlocks: 1000, blockTokens: 64,
	models: ['m'], role: 'mixed', leaving: false, ...changes,
});

const request = (requestId: string, sentAt: number, long = false): InFlight => ({
	requestId, promptTokens: 4000, cachedTokens: 0, totalTokens: 4200, prefillTime: 200, long, alone: true, sentAt, firstTokenAt: undefined, lastTokenAt: undefined,
});

test('requests sent after a report was measured are added to it, those before are not', t => {
	const view = new LoadView('e', new RateLearning());
	view.sent(request('old', 100));
	view.reported(report({age: 500, running: 3, freeBlocks: 500}), 1000);
	view.sent(request('new', 900));
	t.is(view.streams(1000), 4);
	t.is(view.freeTokens(1000), (500 * 64) - 4200);
});

test('an older report of the same incarnation is ignored, one of a new incarnation is not', t => {
	const view = new LoadView('e', new RateLearning());
	view.reported(report({sequence: 5, running: 5}), 0);
	view.reported(report({sequence: 4, running: 9}), 10);
	t.is(view.streams(10), 5);
	view.reported(report({sequence: 1, running: 1, incarnation: 'j'}), 20);
	t.is(view.streams(20), 1);
});

test('pending prefill falls with time and ends with the first token', t => {
	const view = new LoadView('e', new RateLearning());
	view.sent(request('a', 0, true));
	t.is(view.pendingPrefill(50), 150);
	t.is(view.longPrefill(50), 150);
	view.firstToken('a', 120);
	t.is(view.pendingPrefill(120), 0);
	t.is(view.inFlight, 1);
	view.ended('a');
	t.is(view.inFlight, 0);
});

test('what the engine says of its wait counts more than an older report that comes later', t => {
	const view = new LoadView('e', new RateLearning());
	view.probed(800, 1000);
	view.reported(report({age: 500, pendingPromptTokens: 0}), 1100);
	t.is(view.pendingPrefill(1100), 700);
	view.reported(report({sequence: 2, age: 0, pendingPromptTokens: 0}), 1300);
	t.is(view.pendingPrefill(1300), 0);
});

test('a stale report no longer counts', t => {
	const view = new LoadView('e', new RateLearning());
	view.reported(report({running: 7, freeBlocks: 0}), 0);
	t.is(view.streams(60_000), 0);
	t.is(view.freeTokens(60_000), 64_000);
});
