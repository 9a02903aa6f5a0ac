/**
 * Values over time, for reports that come late.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';

/** Values over time, kept as far back as needed. */
export class History<Value> {
	readonly #lag: number;
	readonly #entries: Array<{at: number; value: Value}>;

	/** @param lag - Age in milliseconds of the values that are asked for. */
	constructor(lag: number, first: Value) {
		this.#lag = lag;
		this.#entries = [{at: performance.now(), value: first}];
	}

	/** Notes the value of this moment. */
	record(value: Value): void {
		this.#prune();
		this.#entries.push({at: performance.now(), value});
	}

	/** The value as it was before the lag. */
	get late(): Value {
		this.#prune();
		return this.#entries[0]!.value;
	}

	#prune(): void {
		const time = performance.now() - this.#lag;
		const next = this.#entries.findIndex(entry => entry.at > time);
		const first = next === -1 ? this.#entries.length - 1 : Math.max(0, next - 1);
		if (first > 0) {
			this.#entries.splice(0, first);
		}
	}
}
