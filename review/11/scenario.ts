/**
 * Engines number the events of their streams by integers of 17 digits. One of six engines crashes for some seconds.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callerHeaders, configurationDocument, engineRowDocument, routePrefixes, storeLocations,
} from '../../platform/stand-in/deployment.js';
import {type Answer, send} from '../support-3/caller.js';
import {heartbeat, playCase} from '../support-3/deployment.js';
import {eventOf, StreamEngine, type StreamPlan} from '../support-3/stream-engine.js';

/** Times in milliseconds. */
const requestInterval = 60;
const requestDeadline = 10_000;
const trafficBefore = 2500;
const downTime = 3000;
const trafficAfter = 3000;

const promptTokens = 1000;
const engineCount = 6;
const firstId = 17_966_859_835_981_230n;
const plan: StreamPlan = {events: 20, idOf: number => String(firstId + BigInt(number)), interval: 60};
const wholeStream = Array.from({length: plan.events}, (_, index) => eventOf(plan, index + 1)).join('');

await playCase('review/11', async (deployment, hasTrouble) => {
	const {instances, recording, store} = deployment;
	const engines = Array.from({length: engineCount}, (_, index) => new StreamEngine({id: `i-m${index + 1}`, ip: deployment.ip(101 + index)}, plan, (request, lastEventId) => {
		recording.add(`request ${request} reaches engine i-m${index + 1}, Last-Event-Id ${lastEventId ?? 'none'}`);
	}));
	const addresses = await Promise.all(engines.map(async engine => engine.listen()));
	const born = Date.now();
	const writeEntries = () => {
		for (const [index, address] of addresses.entries()) {
			const entry = engineRowDocument({
				service: 'model', port: 0, state: 'ready', startedAt: born, failureDomain: 'tartu-a',
			});
			store.put(storeLocations.engines, `i-m${index + 1}`, {...entry, address});
		}
	};

	writeEntries();
	const beats = setInterval(writeEntries, heartbeat);
	await deployment.start(configurationDocument(1, false), {}, 2);
	const pending: Array<Promise<{id: string; answer: Answer}>> = [];
	const timer = setInterval(() => {
		const id = `r${pending.length}`;
		const {ip} = instances[pending.length % instances.length]!;
		pending.push(send({
			ip, method: 'POST', path: `${routePrefixes.stream}x`, headers: callerHeaders(id, requestDeadline, promptTokens), body: 'body', patience: requestDeadline + 500,
		}).then(answer => ({id, answer})));
	}, requestInterval);
	await sleep(trafficBefore);
	if (hasTrouble) {
		const most = Math.max(...engines.map(({openCount}) => openCount));
		const busiest = engines.find(({openCount}) => openCount === most)!;
		recording.add(`an engine crashes with ${busiest.openCount} streams`);
		busiest.crash();
		await sleep(downTime);
		await busiest.listen();
		recording.add('the engine is back');
	}

	await sleep(trafficAfter);
	clearInterval(timer);
	const results = await Promise.all(pending);
	clearInterval(beats);
	for (const engine of engines) {
		engine.crash();
	}

	const whole = results.filter(({answer}) => answer.status === 200 && answer.isWhole);
	const wrong = whole.filter(({answer}) => answer.body !== wholeStream);
	for (const {id, answer} of results) {
		recording.add(`request ${id}: status ${answer.status}, ${answer.failure ?? 'complete'}, pieces ${answer.body.match(/(?<=piece )\d+/gv)?.join(' ') ?? 'none'}`);
	}

	if (whole.length < results.length / 2) {
		return {verdict: 'failed', reason: `${whole.length} of ${results.length} streams were complete`};
	}

	return wrong.length > 0
		? {verdict: 'broken', reason: `${wrong.length} of ${whole.length} complete streams have pieces twice`}
		: {verdict: 'held', reason: `all ${whole.length} complete streams are whole and in order`};
});
