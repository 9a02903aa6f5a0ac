/**
 * `npm run bench:entry`: what an entry instance adds to the latency of short requests, alone and beside large bodies.
 *
 * Direct requests and requests through the entry alternate in one run, so that both see the same machine.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Command} from 'commander';
import {request} from 'undici';
import {ProcessFleet} from '../../src/__tests__/support/processes.js';
import {
	DirectCaller, EntryCaller, largeBody, shortBody,
} from './callers.js';
import {LatencyRecord} from './latency.js';

/** Requests that warm up connections and compiled code. */
const warmUpRequests = 300;

/** Connections of the throughput measurement. */
const throughputConnections = 32;

/** Pause in milliseconds between large bodies, so that several of them pass in each phase. */
const largePause = 20;

/** Blocks of an engine that holds more than a million tokens. */
const engineBlocks = 40_000;

/** Delay of the event loop in seconds, of which the sampling period of 10 ms is a part. */
const eventLoopMetric = 'nodejs_eventloop_lag_p99_seconds';

/** Factor on the engine's step times: the entry is measured, not the engine. */
const timeScale = 0.001;

type Options = {json?: boolean; requests: string; seconds: string};

type Callers = {direct: DirectCaller; entry: EntryCaller; large: EntryCaller; load: EntryCaller};

type Latencies = {direct: LatencyRecord; entry: LatencyRecord};

/** Sends short requests direct and through the entry in turn. */
async function alternate({direct, entry}: Callers, requests: number): Promise<Latencies> {
	const latencies = {direct: new LatencyRecord(), entry: new LatencyRecord()};
	for (let number = 0; number < requests; number++) {
		const text = shortBody(number);
		await latencies.direct.measure(async () => direct.send(text)); // eslint-disable-line no-await-in-loop
		await latencies.entry.measure(async () => entry.send(text, 'question')); // eslint-disable-line no-await-in-loop
	}

	return latencies;
}

/** Alternates while large bodies pass through the entry one after another. */
async function alternateBesideLarge(callers: Callers, requests: number): Promise<Latencies & {largeBodies: number}> {
	const stop = new AbortController();
	let largeBodies = 0;
	const bodies = Array.from({length: 4}, (_, number) => largeBody(number));
	const large = (async () => {
		while (!stop.signal.aborted) {
			await callers.large.send(bodies[largeBodies % bodies.length]!, 'review'); // eslint-disable-line no-await-in-loop
			largeBodies += 1;
			await delay(largePause); // eslint-disable-line no-await-in-loop
		}
	})();
	const latencies = await alternate(callers, requests);
	stop.abort();
	await large;
	return {...latencies, largeBodies};
}

/** A figure from an entry's metrics. */
async function metric(operators: string, name: string): Promise<number> {
	const response = await request(`http://${operators}/metrics`);
	const line = new RegExp(String.raw`^carobquay_${name} (\S+)`, 'mv').exec(await response.body.text());
	return Number(line![1]);
}

/** Processor seconds that an entry has used. */
async function processorSeconds(operators: string): Promise<number> {
	return metric(operators, 'process_cpu_seconds_total');
}

/** Requests per second of processor time of the entry, under as many requests as its connections carry. */
async function throughput({load}: Callers, operators: string, seconds: number): Promise<{perCore: number; perSecond: number}> {
	const endsAt = performance.now() + (seconds * 1000);
	const usedBefore = await processorSeconds(operators);
	let sent = 0;
	await Promise.all(Array.from({length: throughputConnections}, async () => {
		while (performance.now() < endsAt) {
			sent += 1;
			await load.send(shortBody(sent), 'question'); // eslint-disable-line no-await-in-loop
		}
	}));
	const used = await processorSeconds(operators) - usedBefore;
	return {perCore: Math.round(sent / used), perSecond: Math.round(sent / seconds)};
}

function round(milliseconds: number): number {
	return Math.round(milliseconds * 100) / 100;
}

async function measure(fleet: ProcessFleet, options: Options) {
	const [entry] = fleet.entries;
	const [engine] = fleet.engines;
	const callers: Callers = {
		direct: new DirectCaller(engine!.address),
		entry: new EntryCaller(entry!.callers, 4),
		large: new EntryCaller(entry!.callers, 1),
		load: new EntryCaller(entry!.callers, throughputConnections),
	};
	await alternate(callers, warmUpRequests);
	const alone = await alternate(callers, Number(options.requests));
	// Reading the metric begins a new period.
	const delayAlone = await metric(entry!.operators, eventLoopMetric);
	const beside = await alternateBesideLarge(callers, Number(options.requests));
	const delayBeside = await metric(entry!.operators, eventLoopMetric);
	const rate = await throughput(callers, entry!.operators, Number(options.seconds));
	await Promise.all(Object.values(callers).map(async caller => caller.close()));
	return {
		requests: alone.entry.count,
		direct_p50_ms: alone.direct.percentile(50),
		direct_p99_ms: alone.direct.percentile(99),
		entry_p50_ms: alone.entry.percentile(50),
		entry_p99_ms: alone.entry.percentile(99),
		direct_p99_beside_large_ms: beside.direct.percentile(99),
		entry_p50_beside_large_ms: beside.entry.percentile(50),
		entry_p99_beside_large_ms: beside.entry.percentile(99),
		large_bodies: beside.largeBodies,
		event_loop_p99_alone_ms: round(delayAlone * 1000),
		event_loop_p99_beside_large_ms: round(delayBeside * 1000),
		requests_per_second_per_core: rate.perCore,
		requests_per_second: rate.perSecond,
	};
}

async function main(options: Options): Promise<void> {
	const fleet = await ProcessFleet.start({
		entries: 1, engines: 2, engineArguments: ['--time-scale', String(timeScale), '--blocks', String(engineBlocks)], settings: '[log]\nlevel = info\n',
	});
	try {
		const figures = await measure(fleet, options);
		if (!options.json) {
			for (const [name, value] of Object.entries(figures)) {
				process.stdout.write(`${name.padEnd(30)} ${value}\n`);
			}
		}

		process.stdout.write(`${JSON.stringify(figures)}\n`);
	} finally {
		await fleet.stop();
	}
}

await new Command('bench:entry')
	.option('--json', 'print only the line of JSON')
	.option('--requests <count>', 'requests of each way and phase', '2000')
	.option('--seconds <seconds>', 'length of the throughput measurement', '5')
	.action(async (options: Options) => main(options))
	.parseAsync();
