/**
 * Orders that an engine has taken, and what it became by them.
 *
 * @module
 */
import {match} from 'ts-pattern';
import type {EngineCommand, EngineRole} from '../../upstream/engine.js';
import {EngineRefusal} from './engine-refusal.js';

/** Whether an engine refuses orders with an old fencing number or ignores the number. */
export type FencingMode = 'checked' | 'ignored';

/** What an engine is at its start. */
export type OrderOptions = {
	/**
	 * Models loaded at the start, as "name" or "name@version".
	 * @default ['stand-in']
	 */
	models?: readonly string[];
	/** @default 'mixed' */
	role?: EngineRole;
	/** @default 'checked' */
	fencing?: FencingMode;
	/**
	 * Time in milliseconds that loading takes.
	 * @default 100
	 */
	loadTime?: number;
};

/** Models, role and fencing number of an engine. */
export class EngineOrders {
	readonly #models = new Map<string, string>();
	readonly #fencing: FencingMode;
	readonly #loadTime: number;
	readonly #taken: EngineCommand[] = [];
	#role: EngineRole;
	#fencingNumber = 0;

	constructor({models = ['stand-in'], role = 'mixed', fencing = 'checked', loadTime = 100}: OrderOptions) {
		for (const model of models) {
			const [name, version = ''] = model.split('@');
			this.#models.set(name!, version);
		}

		this.#role = role;
		this.#fencing = fencing;
		this.#loadTime = loadTime;
	}

	get role(): EngineRole {
		return this.#role;
	}

	/** Each loaded model by its name and, where it has a version, by "name@version" as well. */
	get models(): string[] {
		return [...this.#models].flatMap(([name, version]) => version === '' ? [name] : [name, `${name}@${version}`]);
	}

	/** Orders taken so far, in order. */
	get taken(): readonly EngineCommand[] {
		return this.#taken;
	}

	serves(model: string): boolean {
		return this.#models.has(model);
	}

	/**
	 * Carries an order out; resolves once it is in force.
	 *
	 * @throws {EngineRefusal} 'stale-fencing-number' where the number is lower than an earlier one and is checked.
	 */
	async take(order: EngineCommand): Promise<void> {
		if (this.#fencing === 'checked' && order.fencingNumber < this.#fencingNumber) {
			throw new EngineRefusal('stale-fencing-number', `order with fencing number ${order.fencingNumber} came after one with ${this.#fencingNumber}`);
		}

		this.#fencingNumber = Math.max(this.#fencingNumber, order.fencingNumber);
		this.#taken.push(order);
		await match(order)
			.with({kind: 'load'}, async ({name, version}) => {
				await this.#loadWeights();
				this.#models.set(name, version);
			})
			.with({kind: 'unload'}, async ({name, version}) => {
				if (this.#models.get(name) === version) {
					this.#models.delete(name);
				}
			})
			.with({kind: 'role'}, async ({role}) => {
				this.#role = role;
			})
			.exhaustive();
	}

	async #loadWeights(): Promise<void> {
		await new Promise<void>(resolve => {
			setTimeout(resolve, this.#loadTime);
		});
	}
}
