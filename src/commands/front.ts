/**
 * `carobquay front`: runs one instance on the platform until it is told to stop.
 *
 * @module
 */
import process from 'node:process';
import v8 from 'node:v8';
import {PlatformHealthCheckClient} from '../../platform/health-check-client.js';
import {PlatformEngineReserver} from '../../platform/engine-reserver.js';
import {PlatformProtocol} from '../../platform/protocol.js';
import {loadPlatformSettings, type ResolvedPlatformSettings, settingsPathFromEnvironment} from '../../platform/settings.js';
import {StoreClient} from '../../platform/store-client.js';
import {storeTables} from '../../platform/store-tables.js';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import {ServingInstance} from '../serving/serving-instance.js';
import {codeCacheOutcome} from '../startup/code-cache.js';
import {EndReport} from '../startup/end-report.js';
import {MemoryWarning} from '../startup/memory-warning.js';
import {defaultStartLimit, repeatUntilSuccess} from '../startup/repeated-attempt.js';
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
	/**
	 * Time in milliseconds for which settings that are not valid yet are waited for, and ports where the settings set no other.
	 * @default 30000
	 */
	startLimit?: number;
};

/** Time in milliseconds to write the last log lines. */
const lastLines = 200;

/**
 * Runs the instance; the process ends when it has stopped.
 *
 * @param onHangup - Sets the listener for SIGHUP.
 */
export async function front({logLevel, metricsPort, startLimit = defaultStartLimit}: FrontOptions, onHangup: (listener: () => void) => void = listenForHangups): Promise<void> {
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
	const running = new RunningInstance();
	const stop = async (signal: NodeJS.Signals) => {
		if (running.isStopping) {
			return;
		}

		end.record('signal', {signal});
		log.info('instance.signal', {instance: running.instance?.name, signal});
		await running.stop();
		await writer.flush(lastLines);
		process.exit(exitCodes.success); // eslint-disable-line unicorn/no-process-exit
	};

	// Without a listener the runtime opens a debugger, which runs code for any process of the machine.
	process.on('SIGUSR1', signal => {
		log.warn('instance.signal-ignored', {signal});
	});
	process.on('SIGTERM', signal => {
		void stop(signal);
	});
	process.on('SIGINT', signal => {
		void stop(signal);
	});
	try {
		await start({
			writer, log, end, metricsPort, onHangup, running, startLimit,
		});
	} catch (error) {
		if (running.isStopping) {
			// The signal ends the process.
			return;
		}

		log.error('instance.start-failed', {reason: errorMessage(error)});
		end.record('failed-start', {error: errorMessage(error)});
		await writer.flush(lastLines);
		throw error;
	}
}

/** The instance of this process, from the first wait of its start to its end. */
class RunningInstance {
	/** Undefined until the settings have been read. */
	instance: {name: string; serving: ServingInstance} | undefined;
	readonly #stopping = new AbortController();

	/** Aborted when the process is told to end. */
	get signal(): AbortSignal {
		return this.#stopping.signal;
	}

	get isStopping(): boolean {
		return this.#stopping.signal.aborted;
	}

	/** Ends the waits of the start, or the instance after the requests in flight. */
	async stop(): Promise<void> {
		this.#stopping.abort();
		await this.instance?.serving.stop();
	}
}

async function start({writer, log, end, metricsPort, onHangup, running, startLimit}: {
	writer: LineWriter; log: EventLog; end: EndReport; metricsPort: string | undefined; onHangup: (listener: () => void) => void; running: RunningInstance; startLimit: number;
}): Promise<void> {
	const path = settingsPathFromEnvironment();
	const settingsAtStart = waitForSettings(path, log, startLimit, running.signal);
	onHangup(() => {
		void reload(path, settingsAtStart, log);
	});
	const settings = await settingsAtStart;
	running.signal.throwIfAborted();
	const instanceLog = log.with({instance: settings.instance});
	instanceLog.info('instance.settings', {ip: settings.ip, memory_limit: settings.memoryLimit, socket_limit: settings.socketLimit});
	const serving = new ServingInstance({
		...settings,
		startLimit: settings.startLimit ?? startLimit,
		metrics: metricsPort === undefined ? undefined : {host: settings.ip, port: Number(metricsPort)},
		peerPort: settings.internalPorts.first,
		relayPort: settings.internalPorts.first + 1,
		store: new StoreClient(settings.store),
		tables: storeTables,
		protocol: new PlatformProtocol(),
		reservationClient: new PlatformEngineReserver(),
		healthCheckClient: new PlatformHealthCheckClient(),
		log: instanceLog,
		droppedLineCount: () => writer.droppedLineCount,
	});
	running.instance = {name: settings.instance, serving};
	const {memory} = serving;
	end.watchMemory(memory);
	const warning = new MemoryWarning({log: instanceLog, memory, memoryLimit: settings.memoryLimit});
	try {
		await serving.start();
	} catch (error) {
		warning.close();
		throw error;
	}
}

/** Reads the settings until they are valid. @throws {CarobquayError} 7003 if that takes too long. */
async function waitForSettings(path: string, log: EventLog, timeLimit: number, signal: AbortSignal): Promise<ResolvedPlatformSettings> {
	try {
		return await repeatUntilSuccess({
			attempt: async () => loadPlatformSettings(path), timeLimit, signal, onFailure(error) {
				log.warn('instance.settings-unusable', {path, reason: errorMessage(error)});
			},
		});
	} catch (error) {
		signal.throwIfAborted();
		throw new CarobquayError('7003', {message: `settings file ${path} should be valid within ${timeLimit} ms, found: ${errorMessage(error)}`, cause: error});
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
