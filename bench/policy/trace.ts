/**
 * Requests of a run, drawn from a workload with a seed; every policy gets the same.
 *
 * @module
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {prefixChunkBytes} from '../../src/request/prompt.js';
import type {Workload, WorkloadClass} from './workload.js';

/** One request. */
export type TraceRequest = {
	id: string;
	/** Time of arrival in milliseconds. */
	at: number;
	/** Index of the instance that it arrives at. */
	instance: number;
	customer: string;
	requestClass: string;
	/** Tokens that the engine counts. */
	promptTokens: number;
	answerTokens: number;
	promptBytes: number;
	messageBytes: number[];
	prefixHashes: string[];
	/** Tokens that one prefix hash covers. */
	tokensPerHash: number;
};

/** Draws the requests of a run at so many requests a second. */
export function drawTrace(workload: Workload, rate: number, seed: number): TraceRequest[] {
	const generator = xoroshiro128plus(seed);
	const classes = Object.entries(workload.class);
	const customers = Object.entries(workload.customers);
	const end = workload.workload.duration_s * 1000;
	const requests: TraceRequest[] = [];
	let at = nextGap(generator, rate);
	while (at < end) {
		const [requestClass, parameters] = pickByShare(generator, classes);
		const [customer] = pickByShare(generator, customers);
		requests.push({
			id: `${seed}-${requests.length}`,
			at,
			instance: Math.floor(uniformFloat64(generator) * workload.instances.count),
			customer,
			requestClass,
			...drawPrompt(generator, workload, {name: requestClass, parameters, index: requests.length}),
		});
		at += nextGap(generator, rate);
	}

	return requests;
}

type DrawnPrompt = Pick<TraceRequest, 'promptTokens' | 'answerTokens' | 'promptBytes' | 'messageBytes' | 'prefixHashes' | 'tokensPerHash'>;

type DrawnClass = {name: string; parameters: WorkloadClass; index: number};

function drawPrompt(generator: RandomGenerator, {workload}: Workload, {name, parameters, index}: DrawnClass): DrawnPrompt {
	const promptTokens = Math.round(drawLength(generator, parameters));
	const answerTokens = Math.round(between(generator, parameters.minimum_answer, parameters.maximum_answer));
	const spread = between(generator, 1 - workload.bytes_per_token_spread, 1 + workload.bytes_per_token_spread);
	const bytesPerToken = workload.bytes_per_token * spread;
	const promptBytes = Math.round(promptTokens * bytesPerToken);
	const group = Math.floor(uniformFloat64(generator) * Math.max(1, parameters.prefix_groups));
	const shared = parameters.prefix_groups > 0 ? Math.floor((parameters.prefix_tokens * workload.bytes_per_token) / prefixChunkBytes) : 0;
	const prefixHashes = Array.from({length: Math.floor(promptBytes / prefixChunkBytes)}, (_, chunk) => (
		chunk < shared ? `${name}/${group}/${chunk}` : `${index}/${chunk}`));
	return {
		promptTokens,
		answerTokens,
		promptBytes,
		messageBytes: messageBytes(promptBytes, parameters.message_tokens * bytesPerToken),
		prefixHashes,
		tokensPerHash: Math.floor(prefixChunkBytes / bytesPerToken),
	};
}

/** Splits a prompt into instructions, files of one size and a question. */
function messageBytes(promptBytes: number, fileBytes: number): number[] {
	if (fileBytes === 0) {
		return [promptBytes];
	}

	const ends = Math.min(2000, Math.floor(promptBytes / 10));
	const files: number[] = [];
	for (let rest = promptBytes - (2 * ends); rest > 0; rest -= fileBytes) {
		files.push(Math.round(Math.min(rest, fileBytes)));
	}

	return [ends, ...files, ends];
}

function drawLength(generator: RandomGenerator, {length, minimum_tokens: minimum, maximum_tokens: maximum}: WorkloadClass): number {
	const uniform = uniformFloat64(generator);
	return length === 'log-uniform'
		? minimum * ((maximum / minimum) ** uniform)
		: minimum / (1 - (uniform * (1 - (minimum / maximum))));
}

function pickByShare<T extends {share: number}>(generator: RandomGenerator, entries: ReadonlyArray<[string, T]>): [string, T] {
	const total = entries.reduce((sum, [, {share}]) => sum + share, 0);
	let rest = uniformFloat64(generator) * total;
	for (const entry of entries) {
		rest -= entry[1].share;
		if (rest < 0) {
			return entry;
		}
	}

	return entries.at(-1)!;
}

function between(generator: RandomGenerator, low: number, high: number): number {
	return low + (uniformFloat64(generator) * (high - low));
}

function nextGap(generator: RandomGenerator, rate: number): number {
	return (-1000 / rate) * Math.log(1 - uniformFloat64(generator));
}
