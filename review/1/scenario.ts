/**
 * Case 1: a faulty engine sends bytes that are not a response, and the process of the system that receives them ends.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import {Client, type Outcome, type RequestClass} from '../support/client.js';
import {Deployment} from '../support/deployment.js';
import {modelService, plainService, zones} from '../support/documents.js';
import {Engine, type EngineEvent} from '../support/engine.js';
import {hasTrouble, play, type RunRecord} from '../support/record.js';

/** Times in milliseconds from the start of traffic at which engines begin to garble, and for how long: the length of the sheet's entry. */
const garbleStarts = [6000, 14_000, 22_000];
const garbleLength = 5500;

/** Share of their answers that garbling engines spoil, as one in so many, and the first of them. */
const answersPerGarbledOne = 50;
const firstGarbledAnswer = 20;

/** Time in milliseconds for which clients send requests, and between two requests of all clients together. */
const trafficLength = 30_000;
const requestInterval = 30;

/** Clients of each machine. */
const clientsPerMachine = 60;

/** Lost requests that the rule allows. */
const allowedLosses = 3;

/** Kinds of request in turn: eight streams, one unsafe and one safe request. */
const kinds: readonly RequestClass[] = ['question', 'question', 'unsafe', 'question', 'question', 'question', 'safe', 'question', 'question', 'question'];

/** Bytes that are not a response: a status of a class that HTTP doesn't have, or a header whose name holds a blank. */
const forms: Readonly<Record<string, (requestId: string) => string>> = {
	status: requestId => `HTTP/1.1 000 OK\r\nCarobquay-Request-Id: ${requestId}\r\nContent-Length: 2\r\n\r\nok`,
	header: requestId => `HTTP/1.1 200 OK\r\nCarobquay-Request-Id: ${requestId}\r\nCarobquay-Server-Stamp: 3e1b.07.5a2\r\nCarobquay Server-Load: 1,0,11\r\nContent-Length: 2\r\n\r\nok`,
};
const form = forms[process.env.FORM ?? 'status']!;

const deployment = new Deployment();
const engines: Engine[] = [];
const clients: Client[] = [];

async function scenario(record: RunRecord): Promise<{isBroken: boolean}> {
	const events: EngineEvent[] = [];
	let trafficStartedAt = Number.POSITIVE_INFINITY;
	let garblingAnswers = 0;
	const spoil = (requestId: string) => {
		const now = performance.now() - trafficStartedAt;
		if (!hasTrouble || !garbleStarts.some(start => now >= start && now < start + garbleLength)) {
			return undefined;
		}

		garblingAnswers += 1;
		return garblingAnswers % answersPerGarbledOne === firstGarbledAnswer ? form(requestId) : undefined;
	};

	for (let number = 0; number < 9; number++) {
		const isGarbling = number % 3 === 0;
		engines.push(new Engine({
			id: `i-${number}${isGarbling ? '-garbling' : ''}`, service: number < 6 ? modelService : plainService, zone: zones[number % zones.length]!,
			store: deployment.store, plainTime: 21, firstEventTime: 900, eventInterval: 40, eventCount: 20, ...(isGarbling ? {spoil} : {}),
			record(event) {
				events.push(event);
				record.engine(event);
			},
		}));
	}

	await Promise.all(engines.map(async engine => engine.start()));
	await deployment.start(2);
	trafficStartedAt = performance.now();
	const idle = deployment.machines.map(machine => Array.from({length: clientsPerMachine}, () => {
		const client = new Client(machine);
		clients.push(client);
		return client;
	}));
	const pending: Array<Promise<void>> = [];
	const outcomes: Outcome[] = [];
	let number = 0;
	while (performance.now() - trafficStartedAt < trafficLength) {
		const free = idle[number % idle.length]!;
		const client = free.shift();
		const kind = kinds[number % kinds.length]!;
		number += 1;
		if (client) {
			pending.push((async () => {
				const outcome = await (kind === 'question' ? client.send(kind, 10_000, 4960) : client.send(kind, 1500));
				outcomes.push(outcome);
				record.client(outcome);
				free.push(client);
			})());
		}

		await sleep(requestInterval); // eslint-disable-line no-await-in-loop
	}

	await Promise.all(pending);
	return judge(record, outcomes, events);
}

/** Judges LOST: more than three requests from kept connections, passed on to sound engines, whose connection was closed without an answer. */
function judge(record: RunRecord, outcomes: readonly Outcome[], events: readonly EngineEvent[]): {isBroken: boolean} {
	const garbled = events.filter(({kind}) => kind === 'garbled');
	const runs = new Map<string, string[]>();
	for (const {kind, requestId, engine} of events) {
		if (kind === 'run') {
			runs.set(requestId, [...(runs.get(requestId) ?? []), engine]);
		}
	}

	const isAtSoundEngines = ({requestId}: Outcome) => runs.has(requestId) && runs.get(requestId)!.every(engine => !engine.endsWith('-garbling'));
	const cut = outcomes.filter(outcome => outcome.failure !== undefined && outcome.failure !== 'deadline of the client' && isAtSoundEngines(outcome));
	const lost = cut.filter(({status, isKeptConnection}) => status === 0 && isKeptConnection);
	const lostPerMachine = deployment.machines.map(({name}) => lost.filter(({machine}) => machine === name).length);
	for (const [index, {name, ownEnds, exceptions}] of deployment.machines.entries()) {
		record.say(`machine ${name}: process ended by itself ${ownEnds.length} times (${ownEnds.join(', ')}), ${lostPerMachine[index]} requests lost ${exceptions.join(' ')}`);
	}

	record.say(`${outcomes.length} requests, ${outcomes.filter(({status, isComplete}) => status === 200 && isComplete).length} served, ${garbled.length} garbled answers`);
	record.say(`${lost.length} requests of kept connections were passed on to sound engines and closed without an answer (allowed ${allowedLosses}); `
		+ `${cut.length - lost.length} more were cut within their answer or on new connections`);
	if (hasTrouble && garbled.length === 0) {
		throw new Error('no answer was garbled');
	}

	// The page counts the losses of a machine; a total over all machines would be reached sooner.
	return {isBroken: Math.max(...lostPerMachine) > allowedLosses};
}

await play(1, scenario, async () => {
	for (const client of clients) {
		client.close();
	}

	await deployment.close();
	for (const engine of engines) {
		engine.close();
	}
});
