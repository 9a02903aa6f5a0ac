import {performance} from 'node:perf_hooks';
import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {EngineHealth} from '../../placement/engine-health.js';
import {LoadTracker} from '../../placement/load-tracker.js';
import {PlacementCoordinator} from '../../placement/placement-coordinator.js';
import {EventLog} from '../../telemetry/log.js';
import {type EngineChoiceResult, EngineChooser, type EngineChoiceInput} from '../engine-chooser.js';
import type {EngineRecord, Route, Service} from '../model.js';

const service: Service = {
	name: 'model',
	engineProfile: {
		slots: 11, kvCacheTokens: 315_000, baseStepTime: 0.85, stepTimePerRequest: 0.006, stepTimePerThousandTokens: 0.003, prefillTokensPerMillisecond: 177, attentionTimePerMillionPairs: 0.184,
		stepsPerIteration: 51, meanTokens: {prompt: 11_000, answer: 1600},
	},
};

const route: Route = {
	name: 'reviews', host: 'a', prefix: '/', kind: 'stream', isResumable: true, timeout: 15_000, latencyTarget: 3000, eventGapTarget: 1000, maximumAttempts: 2,
	priority: 1, allowsAnonymous: true, targets: [{service: 'model', weight: 1}],
};

const terms: EngineChoiceInput = {
	requestId: 'r1', service, route, remaining: 15_000, excluded: new Set(), attempt: 1, isStreamInterrupted: false, signal: new AbortController().signal,
	headerValues: {
		requestId: 'r1', timeout: 15_000, apiKey: undefined, promptTokens: 100_000, maximumAnswerTokens: 800, answerTokensHint: 800, lastEventId: undefined,
	},
};

function engine(id: string): EngineRecord {
	return {
		id, service: 'model', host: '127.0.0.1', port: 1, address: '127.0.0.1:1', failureDomain: 'a', slots: 11, state: 'ready', startedAt: undefined,
	};
}

/** A chooser over two engines that read for a while and write beside it. */
function busyChooser() {
	const ready = [engine('one'), engine('two')];
	const book = new LoadTracker();
	for (const {id} of ready) {
		book.add({
			key: `other/${id}`, eventGapTarget: 250, weight: 1, startsAt: performance.now(), expiresAt: performance.now() + 60_000,
			assignments: [{
				engineId: id, prefillTime: 1000, kvCacheTokens: 100, runsDecode: true,
			}],
		}, performance.now());
	}

	const none = () => undefined;
	const desk = new PlacementCoordinator({
		engines: {ready: () => ready}, loadTracker: book, engineHealth: new EngineHealth(), failureDomain: 'a', origin: 'self', hasPeers: () => true,
		listener: {
			placed: none, prefillCompleted: none, ended: none, cooldownStarted: none, slowdownChanged: none,
		},
	});
	const log = new EventLog({write: none});
	const chooser = new EngineChooser({
		placementCoordinator: desk, log, onMisdirected: none,
		reservations: {
			log, memoryReleaseTimeout: 4000, maximumReservationLifetime: 20_000, client: {reserve: async () => true, release: async () => true},
		},
	});
	return {chooser, ready, book};
}

function releaseOf(choice: EngineChoiceResult): () => void {
	return choice.kind === 'chosen' ? choice.engine.release : () => undefined;
}

test.serial('a long prompt is held until its engines have read what they had', async t => {
	const clock = fakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	t.teardown(() => {
		clock.uninstall();
	});
	const {chooser} = busyChooser();
	let chosenAt: number | undefined;
	void chooser.choose(terms).then(() => {
		chosenAt = performance.now();
	});

	await clock.tickAsync(900);
	t.is(chosenAt, undefined);
	await clock.tickAsync(200);
	t.true((chosenAt ?? 0) >= 900);
});

test.serial('a held prompt does not go to an engine that left meanwhile', async t => {
	const clock = fakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
	t.teardown(() => {
		clock.uninstall();
	});
	const {chooser, ready} = busyChooser();
	const choice = chooser.choose(terms);
	await clock.tickAsync(500);
	ready.splice(0, 1);
	await clock.tickAsync(5000);

	const chosen = await choice;
	t.like(chosen, {kind: 'chosen', engine: {record: {id: 'two'}, readers: []}});
});

test.serial('a held prompt whose caller leaves is let go at once', async t => {
	const clock = fakeTimers.install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	t.teardown(() => {
		clock.uninstall();
	});
	const {chooser, book} = busyChooser();
	const over = new AbortController();
	const choice = chooser.choose({...terms, signal: over.signal});
	await clock.tickAsync(100);
	over.abort();
	const chosen = await choice;

	t.is(chosen.kind, 'chosen');
	t.is(book.size, 3);
	releaseOf(chosen)();

	t.is(book.size, 2);
});
