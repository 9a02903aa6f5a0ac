/**
 * Case 1: a faulty engine sends bytes that are not a response, and the process of the system that receives them ends.
 *
 * @module
 */
import process from 'node:process';
import {Deployment} from '../support/deployment.js';
import {modelService, plainService, zones} from '../support/documents.js';
import {Engine, type EngineEvent} from '../support/engine.js';
import {hasTrouble, play, type RunRecord} from '../support/record.js';
import {
	allowedLosses, countLosses, sayLosses, Traffic,
} from '../support/traffic.js';

/** Times in milliseconds from the start of traffic at which engines begin to garble, and for how long: the length of the sheet's entry. */
const garbleStarts = [6000, 14_000, 22_000];
const garbleLength = 5500;

/** Of so many answers of garbling engines, the last one is spoilt: the share of the kind, 0.02. */
const answersPerGarbledOne = 50;

/** Time in milliseconds for which clients send requests. */
const trafficLength = 30_000;

/** Bytes that are not a response: a status of a class that HTTP doesn't have, or a header whose name holds a blank. */
const forms: Readonly<Record<string, (requestId: string) => string>> = {
	status: requestId => `HTTP/1.1 000 OK\r\nCarobquay-Request-Id: ${requestId}\r\nContent-Length: 2\r\n\r\nok`,
	header: requestId => `HTTP/1.1 200 OK\r\nCarobquay-Request-Id: ${requestId}\r\nCarobquay-Server-Stamp: 3e1b.07.5a2\r\nCarobquay Server-Load: 1,0,11\r\nContent-Length: 2\r\n\r\nok`,
};
const form = forms[process.env.FORM ?? 'status']!;

const deployment = new Deployment();
const traffic = new Traffic(deployment);
const engines: Engine[] = [];

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
		return garblingAnswers % answersPerGarbledOne === 0 ? form(requestId) : undefined;
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
	const outcomes = await traffic.play(trafficLength, record);
	const losses = countLosses(deployment, outcomes, events, engine => !engine.endsWith('-garbling'));
	sayLosses(record, deployment, outcomes, losses);
	const garbledCount = events.filter(({kind}) => kind === 'garbled').length;
	record.say(`${garbledCount} answers were garbled`);
	if (hasTrouble && garbledCount === 0) {
		throw new Error('no answer was garbled');
	}

	return {isBroken: Math.max(...losses) > allowedLosses};
}

await play(1, scenario, async () => {
	traffic.close();
	await deployment.close();
	for (const engine of engines) {
		engine.close();
	}
});
