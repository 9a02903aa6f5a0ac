/**
 * Case 3: a machine is stopped as planned. A request that it accepts between 3.0 and 3.2 s after SIGTERM, on a connection
 * that was idle, is cut when the process ends, although its engine is sound and neither deadline nor timeout is near.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Client, type Outcome} from '../support/client.js';
import {Deployment} from '../support/deployment.js';
import {modelService, plainService, zones} from '../support/documents.js';
import {Engine, type EngineEvent} from '../support/engine.js';
import {hasTrouble, play, type RunRecord} from '../support/record.js';

/** Times in milliseconds after SIGTERM at which the idle clients send their next request, one each; the first ones keep the machine busy, as in any traffic. */
const sendTimes = [-1000, 500, 2000, ...Array.from({length: 13}, (_, index) => 2800 + (50 * index))];

/** Time in milliseconds after SIGTERM up to which the rule excuses a request whose engine is still at work at the end. */
const excusedUntil = 3000;

/** Slack in milliseconds between the clock of this script and the arrival of the signal at the process. */
const signalSlack = 20;

/** Time in milliseconds for which the clients' connections are idle before SIGTERM; four fifths of the limit are 12 s. */
const idleTime = 1500;

const deadline = 15_000;
const promptTokens = 20_000;

const deployment = new Deployment();
const engines: Engine[] = [];
const clients: Client[] = [];

async function scenario(record: RunRecord): Promise<{isBroken: boolean}> {
	const events: EngineEvent[] = [];
	for (let number = 0; number < 7; number++) {
		engines.push(new Engine({
			// 16 events with pauses of 400 ms: the sheet allows the route's streams pauses of 1,000 ms.
			id: `i-${number}`, service: number < 6 ? modelService : plainService, zone: zones[number % zones.length]!, store: deployment.store, plainTime: 21,
			firstEventTime: 300, eventInterval: 400, eventCount: 16,
			record(event) {
				events.push(event);
				record.engine(event);
			},
		}));
	}

	await Promise.all(engines.map(async engine => engine.start()));
	await deployment.start(3);
	const [machine] = deployment.machines;
	clients.push(...sendTimes.map(() => new Client(machine!)));
	const first = await Promise.all(clients.map(async client => client.send('safe', 1500)));
	for (const outcome of first) {
		record.client(outcome);
	}

	if (first.some(({status}) => status !== 200)) {
		throw new Error('the first requests were not served');
	}

	await sleep(idleTime);
	const plannedAt = performance.now() - Math.min(...sendTimes);
	let terminatedAt = plannedAt;
	setTimeout(() => {
		terminatedAt = performance.now();
		if (hasTrouble) {
			record.say(`SIGTERM to ${machine!.name}`);
			machine!.terminate();
		}
	}, plannedAt - performance.now());
	const outcomes = await Promise.all(clients.map(async (client, index) => {
		await sleep(Math.max(0, plannedAt + sendTimes[index]! - performance.now()));
		const outcome = await client.send('review', deadline, promptTokens);
		record.client(outcome);
		return outcome;
	}));
	return judge(record, outcomes, events, terminatedAt);
}

/** Judges LOST around planned work: a request was passed on to an engine and its connection ends without a complete answer. */
function judge(record: RunRecord, outcomes: readonly Outcome[], events: readonly EngineEvent[], terminatedAt: number): {isBroken: boolean} {
	const passedOn = new Set(events.filter(({kind}) => kind === 'run').map(({requestId}) => requestId));
	const cut = outcomes.filter(({requestId, isComplete}) => passedOn.has(requestId) && !isComplete);
	const lost = cut.filter(({sentAt}) => sentAt - terminatedAt > excusedUntil + signalSlack);
	for (const {requestId, sentAt, endedAt, status, isComplete, body} of outcomes) {
		const end = isComplete ? 'complete' : `cut after ${Math.round(endedAt - sentAt)} ms`;
		record.say(`${requestId} sent ${Math.round(sentAt - terminatedAt)} ms after SIGTERM: status ${status}, ${end}, ${body.length} bytes`);
	}

	record.say(`${outcomes.length} requests, ${outcomes.filter(({status, isComplete}) => status === 200 && isComplete).length} served, `
		+ `${outcomes.filter(({status}) => status === 503).length} refused, ${cut.length - lost.length} cut that the rule excuses, ${lost.length} lost (allowed 0)`);
	return {isBroken: lost.length > 0};
}

await play(3, scenario, async () => {
	for (const client of clients) {
		client.close();
	}

	await deployment.close();
	for (const engine of engines) {
		engine.close();
	}
});
