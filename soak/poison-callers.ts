/**
 * Callers whose requests crash engines, and what engines saw of them.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ArrivedRequest} from '../platform/stand-in/engine.js';
import {call} from './callers.js';
import type {Poison, PoisonKind} from './poison-checks.js';

/** Time in milliseconds between two requests. */
const requestInterval = 250;

/** All poisonous requests of one run. */
export class PoisonCallers {
	readonly poisons: Poison[] = [];
	readonly #seed: number;
	readonly #answers: Array<Promise<unknown>> = [];

	constructor(seed: number) {
		this.#seed = seed;
	}

	/** Sends requests of one new kind to all instances in turn for a time in milliseconds. */
	async send(kind: PoisonKind, duration: number, instances: ReadonlyArray<{name: string; ip: string}>): Promise<void> {
		const poison: Poison = {
			kind, marker: `poison${this.poisons.length}`, sent: new Map(), arrivals: [], crashes: [],
		};
		this.poisons.push(poison);
		const {marker, sent} = poison;
		for (let count = 0; count * requestInterval < duration; count++) {
			const id = `${this.#seed}-${marker}-${count}`;
			const instance = instances[count % instances.length]!;
			sent.set(id, {at: performance.now(), instance: instance.name});
			this.#answers.push(kind === 'part' ? call('stream', id, instance, {promptParts: ['1', marker, id]}) : call('idempotent', id, instance, {name: marker}));
			await sleep(requestInterval); // eslint-disable-line no-await-in-loop
		}

		await Promise.all(this.#answers);
	}

	/** Whether a request crashes its engine. */
	isPoisonous(request: ArrivedRequest): boolean {
		return this.#find(request) !== undefined;
	}

	recordCrash(request: ArrivedRequest): void {
		this.#find(request)?.crashes.push(performance.now());
	}

	recordArrival(requestId: string): void {
		this.poisons.find(({sent}) => sent.has(requestId))?.arrivals.push({requestId, at: performance.now()});
	}

	#find({promptParts, path}: ArrivedRequest): Poison | undefined {
		return this.poisons.find(({marker}) => promptParts.includes(marker) || path.endsWith(`/${marker}`));
	}
}
