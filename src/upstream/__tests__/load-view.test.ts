import test from 'ava';
import type {LoadReport} from '../engine.js';
import {type InFlightRequest, LoadView} from '../load-view.js';
import {PrefillEstimator} from '../prefill-estimator.js';

const report = (changes: Partial<LoadReport>): LoadReport => ({
	sequence: 1, incarnation: 'i', age: 0, running: 0, waiting: 0, pendingPromptTokens: 0, freeBlocks: 1000, totalBlocks: 1000, blockTokens: 64,
	models: ['m'], role: 'mixed', leaving: false, ...changes,
});

const request = (requestId: string, sentAt: number, long = false): InFlightRequest => ({
	requestId, promptTokens: 4000, cachedTokens: 0, totalTokens: 4200, prefillTime: 200, isLong: long, hasNoPrefillAhead: true, sentAt, firstTokenAt: undefined, lastTokenAt: undefined,
});

test('requests sent after a report was measured are added to it, those before are not', t => {
	const view = new LoadView('e', new PrefillEstimator());
	view.recordSent(request('old', 100));
	view.applyReport(report({age: 500, running: 3, freeBlocks: 500}), 1000);
	view.recordSent(request('new', 900));
	t.is(view.streamCount(1000), 4);
	t.is(view.freeKvCacheTokens(1000), (500 * 64) - 4200);
});

test('an older report of the same incarnation is ignored, one of a new incarnation is not', t => {
	const view = new LoadView('e', new PrefillEstimator());
	view.applyReport(report({sequence: 5, running: 5}), 0);
	view.applyReport(report({sequence: 4, running: 9}), 10);
	t.is(view.streamCount(10), 5);
	view.applyReport(report({sequence: 1, running: 1, incarnation: 'j'}), 20);
	t.is(view.streamCount(20), 1);
});

test('pending prefill falls with time and ends with the first token', t => {
	const view = new LoadView('e', new PrefillEstimator());
	view.recordSent(request('a', 0, true));
	t.is(view.pendingPrefillTime(50), 150);
	t.is(view.pendingLongPrefillTime(50), 150);
	view.recordFirstToken('a', 120);
	t.is(view.pendingPrefillTime(120), 0);
	t.is(view.inFlightCount, 1);
	view.recordEnd('a');
	t.is(view.inFlightCount, 0);
});

test('what the engine says of its wait counts more than an older report that comes later', t => {
	const view = new LoadView('e', new PrefillEstimator());
	view.recordExpectedWait(800, 1000);
	view.applyReport(report({age: 500, pendingPromptTokens: 0}), 1100);
	t.is(view.pendingPrefillTime(1100), 700);
	view.applyReport(report({sequence: 2, age: 0, pendingPromptTokens: 0}), 1300);
	t.is(view.pendingPrefillTime(1300), 0);
});

test('a stale report no longer counts', t => {
	const view = new LoadView('e', new PrefillEstimator());
	view.applyReport(report({running: 7, freeBlocks: 0}), 0);
	t.is(view.streamCount(60_000), 0);
	t.is(view.freeKvCacheTokens(60_000), 64_000);
});
