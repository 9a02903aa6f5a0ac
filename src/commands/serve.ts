/**
 * `carobquay serve`: runs one entry instance until it is told to stop.
 *
 * @module
 */
import process from 'node:process';
import {EntryInstance} from '../entry/instance.js';
import {openPlatform, type Platform} from '../platform/platform.js';
import {loadSettings} from '../settings/resolve.js';
import type {ResolvedSettings} from '../settings/schema.js';
import {EventLog} from '../telemetry/log.js';
import {HttpConnector} from '../upstream/http-connector.js';
import {exitCodes} from './exit-codes.js';

/** Options of the command. */
export type ServeOptions = {
	/** Path of the settings file. */
	settings: string;
};

/** Runs the instance; the process ends when it has stopped. */
export async function serve({settings: file}: ServeOptions): Promise<void> {
	const settings = await loadSettings(file);
	const log = new EventLog({level: settings.log.level});
	const platform = connectPlatform(settings);
	const instance = new EntryInstance({
		settings, platform, log, connector: new HttpConnector(settings.upstreams.silence),
	});
	await instance.start();
	stopOnSignals(instance, log);
}

/** Platform services that the settings name. */
function connectPlatform({platform}: ResolvedSettings): Platform {
	if (platform.adapter === 'memory') {
		return openPlatform({kind: 'memory'});
	}

	return openPlatform({
		kind: 'http',
		tableAddress: platform.table,
		objectsAddress: platform.objects,
		instancesAddress: platform.instances,
		weightsAddress: platform.weights,
		timeout: platform.timeout,
	});
}

/** Shuts down gracefully on the first signal and stops at once on the second. */
export function stopOnSignals(instance: EntryInstance, log: EventLog): void {
	let stopping = false;
	const onSignal = (signal: NodeJS.Signals) => {
		if (stopping) {
			log.warn('instance.stopped-at-once', {signal});
			process.exit(exitCodes.failure); // eslint-disable-line unicorn/no-process-exit
		}

		stopping = true;
		log.info('instance.signal', {signal});
		void shutDown(instance);
	};

	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
}

async function shutDown(instance: EntryInstance): Promise<void> {
	const ended = await instance.shutdown();
	process.exit(ended ? exitCodes.success : exitCodes.failure); // eslint-disable-line unicorn/no-process-exit
}
