/**
 * Finds out whether an engine whose connection broke has crashed: its port then refuses connections, to all instances.
 *
 * @module
 */
import type {EngineConnector} from './engine-connector.js';

/** Address of an engine's run. */
export type CheckedEngine = {
	id: string;
	host: string;
	port: number;
	/** Unix time in milliseconds of its start; undefined where it is not stated. */
	startedAt: number | undefined;
	failureDomain: string;
};

/** Time in milliseconds after which an engine that neither accepts nor refuses a connection counts as not crashed, as it may be cut off. */
const connectTimeout = 250;

/** Most crashed runs that are remembered. */
const maximumRememberedRuns = 1000;

/** Options of a `CrashCheck`. */
export type CrashCheckOptions = {
	/** @param timeout - In milliseconds. */
	connectDirectly: (engine: CheckedEngine, timeout: number) => EngineConnector;
	/** Resolves with whether only this instance's own path to the engine may have failed. */
	hasLostPath: (engine: CheckedEngine) => Promise<boolean>;
};

/** Checks engines, each run of one at a time. */
export class CrashCheck {
	readonly #options: CrashCheckOptions;
	readonly #checks = new Map<string, Promise<boolean>>();

	constructor(options: CrashCheckOptions) {
		this.#options = options;
	}

	/** Resolves with whether the engine's process has ended. */
	async hasCrashed(engine: CheckedEngine): Promise<boolean> {
		const key = `${engine.id} ${engine.startedAt ?? 0} ${engine.host}:${engine.port}`;
		let check = this.#checks.get(key);
		if (!check) {
			check = this.#check(engine);
			this.#checks.set(key, check);
			// A run that has crashed stays so; one that lives is checked again after the next broken connection.
			if (!await check) {
				this.#checks.delete(key);
			}

			this.#removeOldest();
		}

		return check;
	}

	async #check(engine: CheckedEngine): Promise<boolean> {
		return await this.#isRefused(engine) && !(await this.#options.hasLostPath(engine));
	}

	async #isRefused(engine: CheckedEngine): Promise<boolean> {
		return new Promise(resolve => {
			this.#options.connectDirectly(engine, connectTimeout).connect({
				onConnected(stream) {
					stream.on('error', () => undefined);
					stream.destroy();
					resolve(false);
				},
				onFailure({isRefused}) {
					resolve(isRefused);
				},
			});
		});
	}

	#removeOldest(): void {
		if (this.#checks.size > maximumRememberedRuns) {
			this.#checks.delete(this.#checks.keys().next().value!);
		}
	}
}
