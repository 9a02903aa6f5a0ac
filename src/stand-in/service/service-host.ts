/**
 * A plain service that counts how often each request took effect.
 *
 * The HTTP stand-in and the in-memory twin are thin layers over it.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {ServiceAnswer, ServiceLoad, ServiceRequest} from '../../upstream/service.js';
import {answerHash} from '../engine/answer.js';
import {History} from '../history.js';

/** Settings of a hosted service. */
export type ServiceHostOptions = {
	/**
	 * Time in milliseconds that a call takes.
	 * @default 20
	 */
	duration?: number;
	/**
	 * Whether a repeated idempotency key gets the first answer without a further effect.
	 * @default false
	 */
	recognizesKeys?: boolean;
	/**
	 * Age in milliseconds of the load that is reported.
	 * @default 0
	 */
	loadLag?: number;
};

/** What a service needs of a call. */
export type ServiceCall = Omit<ServiceRequest, 'timeRemaining'>;

/** How often calls took effect, by request id and by idempotency key. */
export type ServiceEffects = {requests: Record<string, number>; keys: Record<string, number>};

/** A running service. */
export class ServiceHost {
	/** Whether the service reports that it is about to leave; it still takes work. */
	leaving = false;
	readonly #duration: number;
	readonly #recognizesKeys: boolean;
	readonly #requests = new Map<string, number>();
	readonly #keys = new Map<string, number>();
	readonly #answers = new Map<string, Promise<ServiceAnswer>>();
	readonly #running: History<number>;
	readonly #thawed: () => Promise<void>;
	#runningNow = 0;

	/** @param thawed - Resolves once the service is not frozen; it does no work before. */
	constructor({duration = 20, recognizesKeys = false, loadLag = 0}: ServiceHostOptions = {}, thawed: () => Promise<void> = async () => undefined) {
		this.#duration = duration;
		this.#recognizesKeys = recognizesKeys;
		this.#running = new History(loadLag, 0);
		this.#thawed = thawed;
	}

	/** Runs a call to its end, also where its caller is gone. */
	async perform(call: ServiceCall): Promise<ServiceAnswer> {
		const key = this.#recognizesKeys ? call.idempotencyKey : undefined;
		if (key === undefined) {
			return this.#run(call);
		}

		const first = this.#answers.get(key) ?? this.#run(call);
		this.#answers.set(key, first);
		return {...await first, requestId: call.requestId, attempt: call.attempt};
	}

	load(): ServiceLoad {
		return {running: this.#running.late, leaving: this.leaving};
	}

	/** Effects so far. */
	effects(): ServiceEffects {
		return {requests: Object.fromEntries(this.#requests), keys: Object.fromEntries(this.#keys)};
	}

	async #run(call: ServiceCall): Promise<ServiceAnswer> {
		this.#countRunning(1);
		await new Promise<void>(resolve => {
			setTimeout(resolve, this.#duration);
		});
		await this.#thawed();
		this.#countRunning(-1);
		count(this.#requests, call.requestId);
		if (call.idempotencyKey !== undefined) {
			count(this.#keys, call.idempotencyKey);
		}

		return toAnswer(call);
	}

	#countRunning(change: number): void {
		this.#runningNow += change;
		this.#running.record(this.#runningNow);
	}
}

/** Answer from which a caller can tell that it is its own and whole. */
function toAnswer({requestId, attempt, method, path, body}: ServiceCall): ServiceAnswer {
	const content = JSON.stringify({
		requestId, method, path, body: answerHash(body),
	});
	return {
		requestId, attempt, status: 200, contentType: 'application/json', body: Buffer.from(content),
	};
}

function count(counts: Map<string, number>, key: string): void {
	counts.set(key, (counts.get(key) ?? 0) + 1);
}
