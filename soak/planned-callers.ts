/**
 * Callers that keep their connections until these close, as planned work meets them: some send requests behind one
 * another, some read slowly, some seldom send.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {callerHeaders} from '../platform/stand-in/deployment.js';
import {CallerConnection} from './caller-connection.js';
import {
	type Call, newCall, promptTokens, targets,
} from './callers.js';
import {ports} from './ports.js';
import type {Traffic} from './traffic.js';

/** Each caller with a multiple of the number sends requests behind one another, reads slowly, or seldom sends. */
const pipeliningInterval = 4;
const slowReadingInterval = 6;
const seldomInterval = 5;

/** Time in milliseconds between two reads of a caller that reads slowly. */
const slowReadDelay = 400;

/** Most requests that are sent behind one another, and greatest time in milliseconds between two. */
const mostPipelined = 3;
const greatestPipelineGap = 600;

/** Least and greatest time in milliseconds after an answer until the next request, and that of those who seldom send. */
const usualPause = {least: 50, greatest: 800};
const seldomPause = {least: 2500, greatest: 4500};

/** Greatest time in milliseconds between the head of a request with a body in chunks and its end. */
const greatestBodyDelay = 400;

/** Time in milliseconds after a refusal or a refused connection. */
const retryDelay = 50;

/** Time in milliseconds beyond the deadline for which callers wait for an answer. */
const patience = 1500;

type Target = {name: string; ip: string};

/** Callers of one run and the requests that they have sent. */
export class PlannedCallers {
	readonly calls: Call[] = [];
	/** Bytes that answered no request. */
	readonly strayAnswers: string[] = [];
	readonly #seed: number;
	readonly #instances: readonly Target[];
	readonly #traffic: Traffic;

	constructor({seed, instances, traffic}: {seed: number; instances: readonly Target[]; traffic: Traffic}) {
		this.#seed = seed;
		this.#instances = instances;
		this.#traffic = traffic;
	}

	/** Sends requests for a time in milliseconds. Resolves when all are over. */
	async run(count: number, duration: number): Promise<void> {
		const until = performance.now() + duration;
		await Promise.all(Array.from({length: count}, async (_, number) => {
			const generator = xoroshiro128plus((this.#seed * 1000) + number);
			await sleep(uniformInt(generator, 0, usualPause.greatest));
			await this.#runCaller(number, generator, until);
		}));
	}

	async #runCaller(number: number, generator: RandomGenerator, until: number): Promise<void> {
		const draw = (least: number, most: number) => uniformInt(generator, least, most);
		const isPipelining = number % pipeliningInterval === 1;
		const readDelay = number % slowReadingInterval === 1 ? slowReadDelay : 0;
		const {least, greatest} = number % seldomInterval === 1 ? seldomPause : usualPause;
		let sent = 0;
		while (performance.now() < until) {
			const instance = this.#instances[draw(0, this.#instances.length - 1)]!;
			// eslint-disable-next-line no-await-in-loop
			const connection = await CallerConnection.open(instance.ip, ports.callers, {
				readDelay, onStray: text => {
					this.strayAnswers.push(`${instance.name} sent bytes that answer no request: ${JSON.stringify(text.slice(0, 60))}`);
				},
			});
			while (connection?.isOpen === true && performance.now() < until) {
				const batch: Call[] = [];
				const size = isPipelining ? draw(1, mostPipelined) : 1;
				for (let index = 0; index < size && connection.isOpen; index++) {
					batch.push(await this.#send(connection, {id: `${this.#seed}-${number}-${sent++}`, instance: instance.name, readDelay}, draw)); // eslint-disable-line no-await-in-loop
					await sleep(index < size - 1 ? draw(0, greatestPipelineGap) : 0); // eslint-disable-line no-await-in-loop
				}

				await this.#untilAnswered(connection, batch); // eslint-disable-line no-await-in-loop
				await sleep(batch.some(({status}) => status === 200) ? draw(least, greatest) : retryDelay); // eslint-disable-line no-await-in-loop
			}

			connection?.close();
			await sleep(retryDelay); // eslint-disable-line no-await-in-loop
		}
	}

	async #untilAnswered(connection: CallerConnection, batch: readonly Call[]): Promise<void> {
		const controller = new AbortController();
		const endsAt = Math.max(...batch.map(({startedAt, deadline}) => startedAt + deadline)) + patience;
		const timeout = sleep(endsAt - performance.now(), undefined, {signal: controller.signal}).catch(() => undefined);
		await Promise.race([connection.untilAnswered(), timeout]);
		controller.abort();
		if (batch.some(({endedAt}) => endedAt === 0)) {
			connection.close();
			await connection.untilAnswered();
			for (const call of batch.filter(({whole}) => !whole)) {
				call.failure = 'deadline';
			}
		}
	}

	async #send(connection: CallerConnection, {id, instance, readDelay}: {id: string; instance: string; readDelay: number}, draw: (least: number, most: number) => number): Promise<Call> {
		const {kinds, events: {least, greatest}, deadline} = this.#traffic;
		const kind = kinds[draw(0, kinds.length - 1)]!;
		const {method, path} = targets[kind];
		const isStream = promptTokens[kind] !== undefined;
		const events = isStream ? draw(least, greatest) : undefined;
		const isChunked = method === 'POST' && draw(0, 1) === 1;
		const bodyDelay = draw(0, greatestBodyDelay);
		const call = newCall({
			id, kind, instance, deadline, readDelay, isChunked, events,
		});
		this.calls.push(call);
		const headers = {...callerHeaders(id, deadline, promptTokens[kind]), ...bodyHeaders(method, isChunked)};
		const head = `${method} ${path}${events ?? 'x'} HTTP/1.1\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
		if (isChunked) {
			connection.begin(call, `${head}2\r\nbo\r\n`);
			await sleep(bodyDelay);
			connection.write('2\r\ndy\r\n0\r\n\r\n');
			call.sentAt = performance.now();
		} else {
			connection.begin(call, method === 'POST' ? `${head}body` : head);
		}

		return call;
	}
}

function bodyHeaders(method: string, isChunked: boolean): Record<string, string> {
	if (method !== 'POST') {
		return {};
	}

	return isChunked ? {'Transfer-Encoding': 'chunked'} : {'Content-Length': '4'};
}
