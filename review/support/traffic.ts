/**
 * Steady traffic of all kinds of request, over kept connections.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Client, type Outcome, type RequestClass} from './client.js';
import type {Deployment} from './deployment.js';
import type {EngineEvent} from './engine.js';
import type {RunRecord} from './record.js';

/** Clients of each machine. */
const clientsPerMachine = 60;

/** Time in milliseconds between two requests of all clients together. */
const requestInterval = 30;

/** Kinds of request in turn: eight streams, one unsafe and one safe request. */
const kinds: readonly RequestClass[] = ['question', 'question', 'unsafe', 'question', 'question', 'question', 'safe', 'question', 'question', 'question'];

/** Tokens of the prompts and deadlines in milliseconds. */
const promptTokens = 4960;
const streamDeadline = 10_000;
const plainDeadline = 1500;

/** Lost requests that LOST allows a machine at any time. */
export const allowedLosses = 3;

/** Clients of all machines of a deployment. */
export class Traffic {
	readonly #deployment: Deployment;
	readonly #clients: Client[] = [];

	constructor(deployment: Deployment) {
		this.#deployment = deployment;
	}

	/** Sends requests for some milliseconds. Resolves with all outcomes when the last one is over. */
	async play(length: number, record: RunRecord): Promise<Outcome[]> {
		const startedAt = performance.now();
		const idle = this.#deployment.machines.map(machine => Array.from({length: clientsPerMachine}, () => {
			const client = new Client(machine);
			this.#clients.push(client);
			return client;
		}));
		const pending: Array<Promise<void>> = [];
		const outcomes: Outcome[] = [];
		for (let number = 0; performance.now() - startedAt < length; number++) {
			const free = idle[number % idle.length]!;
			const client = free.shift();
			const kind = kinds[number % kinds.length]!;
			if (client) {
				pending.push((async () => {
					const outcome = await (kind === 'question' ? client.send(kind, streamDeadline, promptTokens) : client.send(kind, plainDeadline));
					outcomes.push(outcome);
					record.client(outcome);
					free.push(client);
				})());
			}

			await sleep(requestInterval); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(pending);
		return outcomes;
	}

	close(): void {
		for (const client of this.#clients) {
			client.close();
		}
	}
}

/**
 * Counts what LOST counts at any time, for each machine: requests from kept connections that were passed on to sound
 * engines and whose connection was closed without an answer. Answers that were cut after their first byte are left out.
 *
 * @param isSound - Whether an engine is sound, by its id.
 */
export function countLosses(deployment: Deployment, outcomes: readonly Outcome[], events: readonly EngineEvent[], isSound: (engine: string) => boolean): number[] {
	const runs = new Map<string, string[]>();
	for (const {kind, requestId, engine} of events) {
		if (kind === 'run') {
			runs.set(requestId, [...(runs.get(requestId) ?? []), engine]);
		}
	}

	const lost = outcomes.filter(({requestId, status, isKeptConnection, failure}) => isKeptConnection && status === 0 && failure !== 'deadline of the client'
		&& runs.has(requestId) && runs.get(requestId)!.every(engine => isSound(engine)));
	return deployment.machines.map(({name}) => lost.filter(({machine}) => machine === name).length);
}

/** Writes what became of all requests and machines. @param losses - Of each machine. */
export function sayLosses(record: RunRecord, deployment: Deployment, outcomes: readonly Outcome[], losses: readonly number[]): void {
	for (const [index, {name, ownEnds, exceptions}] of deployment.machines.entries()) {
		record.say(`machine ${name}: ${losses[index]} requests lost, process ended by itself ${ownEnds.length} times ${[...new Set([...ownEnds, ...exceptions])].join('; ')}`);
	}

	record.say(`${outcomes.length} requests, ${outcomes.filter(({status, isComplete}) => status === 200 && isComplete).length} served; most losses of a machine: `
		+ `${Math.max(...losses)} requests of kept connections, passed on to sound engines and closed without an answer (allowed ${allowedLosses})`);
}
