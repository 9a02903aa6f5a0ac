/**
 * Case 2: another writer leaves an entry with missing fields among the engines, and each process of the system that
 * reads it ends.
 *
 * @module
 */
import {Deployment} from '../support/deployment.js';
import {modelService, plainService, zones} from '../support/documents.js';
import {Engine, type EngineEvent} from '../support/engine.js';
import {hasTrouble, play, type RunRecord} from '../support/record.js';
import {
	allowedLosses, countLosses, sayLosses, Traffic,
} from '../support/traffic.js';

/** Times in milliseconds from the start of traffic at which the entry is written and removed, and at which traffic ends. */
const writtenAt = 6000;
const removedAt = 14_000;
const trafficLength = 20_000;

/** Key of the entry: Estonian for "template". */
const entryKey = 'šabloon';

const deployment = new Deployment();
const traffic = new Traffic(deployment);
const engines: Engine[] = [];

async function scenario(record: RunRecord): Promise<{isBroken: boolean}> {
	const events: EngineEvent[] = [];
	for (let number = 0; number < 9; number++) {
		engines.push(new Engine({
			id: `i-${number}`,
			service: number < 6 ? modelService : plainService,
			zone: zones[number % zones.length]!,
			store: deployment.store,
			plainTime: 21,
			firstEventTime: 900,
			eventInterval: 40,
			eventCount: 20,
			record(event) {
				events.push(event);
				record.engine(event);
			},
		}));
	}

	await Promise.all(engines.map(async engine => engine.start()));
	await deployment.start(2);
	if (hasTrouble) {
		setTimeout(() => {
			// The fields "version", "cold_remaining_ms" and "sequence" are missing; the address is that of an engine.
			deployment.store.put('servers', entryKey, {
				service: plainService, address: engines.at(-1)!.address, zone: zones[0], slots: 6, state: 'ready',
			});
			record.say(`another writer writes servers/${entryKey}`);
		}, writtenAt);
		setTimeout(() => {
			deployment.store.remove('servers', entryKey);
			record.say(`servers/${entryKey} is removed`);
		}, removedAt);
	}

	const outcomes = await traffic.play(trafficLength, record);
	const losses = countLosses(deployment, outcomes, events, () => true);
	sayLosses(record, deployment, outcomes, losses);
	return {isBroken: Math.max(...losses) > allowedLosses};
}

await play(2, scenario, async () => {
	traffic.close();
	await deployment.close();
	for (const engine of engines) {
		engine.close();
	}
});
