/**
 * `carobquay front`: runs one instance on the platform until it is told to stop.
 *
 * @module
 */
import process from 'node:process';
import v8 from 'node:v8';
import {PlatformEngineReserver} from '../../platform/engine-reserver.js';
import {PlatformProtocol} from '../../platform/protocol.js';
import {loadPlatformSettings, settingsPathFromEnvironment} from '../../platform/settings.js';
import {StoreClient} from '../../platform/store-client.js';
import {storeTables} from '../../platform/store-tables.js';
import {errorMessage} from '../errors/errors.js';
import {ServingInstance} from '../serving/serving-instance.js';
import {codeCacheOutcome} from '../startup/code-cache.js';
import {EndReport} from '../startup/end-report.js';
import {MemoryWarning} from '../startup/memory-warning.js';
import {
	fileDescriptorSink, fileDescriptorWriter, LineWriter, stopBlockingOnStandardOutput,
} from '../telemetry/line-writer.js';
import {EventLog, type LogLevel} from '../telemetry/log.js';
import {exitCodes} from './exit-codes.js';

/** Options of the command. */
export type FrontOptions = {
	/**
	 * Least level of log lines.
	 * @default 'info'
	 */
	logLevel: LogLevel;
	/**
	 * Port for metrics on the instance's address.
	 * @default no metrics are served
	 */
	metricsPort?: string;
};

/** Time in milliseconds to write the last log lines. */
const lastLines = 200;

/**
 * Runs the instance; the process ends when it has stopped.
 *
 * @param onHangup - Sets the listener for SIGHUP.
 */
export async function front({logLevel, metricsPort}: FrontOptions, onHangup: (listener: () => void) => void = listenForHangups): Promise<void> {
	stopBlockingOnStandardOutput();
	const writer = new LineWriter(fileDescriptorSink(1), fileDescriptorWriter(1));
	const log = new EventLog({
		level: logLevel,
		write(line, level) {
			writer.write(line, level === 'warn' || level === 'error');
		},
	});
	const end = new EndReport(writer, {pid: process.pid});
	end.install();
	log.info('instance.starting', {
		runtime: process.version, pid: process.pid, platform: `${process.platform}-${process.arch}`, heap_limit: v8.getHeapStatistics().heap_size_limit, code_cache: codeCacheOutcome() ?? 'none',
	});
	try {
		await start({
			writer, log, end, metricsPort, onHangup,
		});
	} catch (error) {
		log.error('instance.start-failed', {reason: errorMessage(error)});
		end.record('failed-start', {error: errorMessage(error)});
		await writer.flush(lastLines);
		throw error;
	}
}

async function start({writer, log, end, metricsPort, onHangup}: {
	writer: LineWriter; log: EventLog; end: EndReport; metricsPort: string | undefined; onHangup: (listener: () => void) => void;
}): Promise<void> {
	const path = settingsPathFromEnvironment();
	const settingsAtStart = loadPlatformSettings(path);
	onHangup(() => {
		void reload(path, settingsAtStart, log);
	});
	const settings = await settingsAtStart;
	log.info('instance.settings', {instance: settings.instance, ip: settings.ip, memory_limit: settings.memoryLimit});
	const instance = new ServingInstance({
		...settings,
		metrics: metricsPort === undefined ? undefined : {host: settings.ip, port: Number(metricsPort)},
		peerPort: settings.internalPorts.first,
		relayPort: settings.internalPorts.first + 1,
		store: new StoreClient(settings.store),
		tables: storeTables,
		protocol: new PlatformProtocol(),
		reservationClient: new PlatformEngineReserver(),
		log: log.with({instance: settings.instance}),
		droppedLineCount: () => writer.droppedLineCount,
	});
	const {memory} = instance;
	end.watchMemory(memory);
	const warning = new MemoryWarning({log: log.with({instance: settings.instance}), memory, memoryLimit: settings.memoryLimit});
	let isStopping = false;
	const stop = async (signal: NodeJS.Signals) => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		end.record('signal', {signal});
		log.info('instance.signal', {instance: settings.instance, signal});
		await instance.stop();
		await writer.flush(lastLines);
		process.exit(exitCodes.success); // eslint-disable-line unicorn/no-process-exit
	};

	process.on('SIGTERM', signal => {
		void stop(signal);
	});
	process.on('SIGINT', signal => {
		void stop(signal);
	});
	try {
		await instance.start();
	} catch (error) {
		warning.close();
		throw error;
	}
}

function listenForHangups(listener: () => void): void {
	process.on('SIGHUP', listener);
}

/** Reads the settings again and tells what would change; addresses and names are those of the start. */
async function reload(path: string, before: Promise<Record<string, unknown>>, log: EventLog): Promise<void> {
	try {
		const settingsBefore = await before;
		const settings = await loadPlatformSettings(path);
		log.info('instance.reloaded', {changed: JSON.stringify(settings) !== JSON.stringify(settingsBefore)});
	} catch (error) {
		log.error('instance.reload-failed', {reason: errorMessage(error)});
	}
}
