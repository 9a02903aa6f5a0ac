/**
 * `carobquay stand-in`: runs a small stand-in of an outside system.
 *
 * @module
 */
import process from 'node:process';
import {match} from 'ts-pattern';
import {CarobquayError} from '../errors/errors.js';
import {PromptReader} from '../request/prompt-reader.js';
import {startEngineStandIn} from '../stand-in/engine/engine-stand-in.js';
import {startInstanceListStandIn} from '../stand-in/platform/instance-list.js';
import {startObjectStoreStandIn} from '../stand-in/platform/object-store.js';
import {startTableStandIn} from '../stand-in/platform/table.js';
import {startWeightStoreStandIn} from '../stand-in/platform/weight-store.js';
import {startServiceStandIn} from '../stand-in/service/service-stand-in.js';
import {exitCodes} from './exit-codes.js';
import {print} from './output.js';

/** Kinds of outside system. */
export const standInKinds = ['engine', 'service', 'table', 'objects', 'instances', 'weights'] as const;

/** A kind of outside system. */
export type StandInKind = (typeof standInKinds)[number];

/** Options of the command, as text from the command line. */
export type StandInOptions = {
	host: string;
	port: string;
	/** Models that an engine has loaded, separated by commas. */
	models?: string;
	/** Blocks of an engine's KV memory. */
	blocks?: string;
	/** Factor on the duration of an engine's steps. */
	timeScale?: string;
	/** Whether an engine finishes a prefill that it has begun. */
	wholePrefill?: boolean;
	/** Whether an engine carries out orders with an old fencing number. */
	ignoreFencing?: boolean;
	/** Lag in milliseconds of the instance list or of an engine's load reports. */
	lag?: string;
};

type RunningStandIn = {address: string; close: () => Promise<void>};

function isKind(kind: string): kind is StandInKind {
	const known: readonly string[] = standInKinds;
	return known.includes(kind);
}

/** Runs a stand-in until it is told to stop. Prints its address as "listening IP:port". */
export async function standIn(kind: string, options: StandInOptions): Promise<void> {
	if (!isKind(kind)) {
		throw new CarobquayError('7002', {message: `stand-in "${kind}" is not known; known are: ${standInKinds.join(', ')}`});
	}

	const running = await start(kind, options);
	print(`listening ${running.address}`);
	const stop = () => {
		void stopAndExit(running);
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}

async function stopAndExit(running: RunningStandIn): Promise<void> {
	await running.close();
	process.exit(exitCodes.success); // eslint-disable-line unicorn/no-process-exit
}

async function start(kind: StandInKind, options: StandInOptions): Promise<RunningStandIn> {
	const listen = {host: options.host, port: Number(options.port)};
	return match(kind)
		.with('engine', async () => startEngine(options, listen))
		.with('service', async () => startServiceStandIn(listen))
		.with('table', async () => startTableStandIn(listen))
		.with('objects', async () => startObjectStoreStandIn(listen))
		.with('instances', async () => startInstanceListStandIn({...listen, ...(options.lag !== undefined && {lag: Number(options.lag)})}))
		.with('weights', async () => startWeightStoreStandIn(listen))
		.exhaustive();
}

async function startEngine({blocks, timeScale, wholePrefill, ignoreFencing, lag, models}: StandInOptions, listen: {host: string; port: number}): Promise<RunningStandIn> {
	return startEngineStandIn({
		...listen,
		summarizer: new PromptReader(),
		parameters: {chunkedPrefill: !wholePrefill, ...(blocks !== undefined && {blocks: Number(blocks)})},
		fencing: ignoreFencing ? 'ignored' : 'checked',
		...(models !== undefined && {models: models.split(',')}),
		...(timeScale !== undefined && {timeScale: Number(timeScale)}),
		...(lag !== undefined && {loadLag: Number(lag)}),
	});
}
