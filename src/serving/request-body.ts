/**
 * Bodies of callers' requests, which an instance keeps until the requests have ended.
 *
 * @module
 */
import type http from 'node:http';
import type {ErrorCode} from '../errors/catalogue.js';
import {ByteCollector} from '../memory/byte-collector.js';
import type {MemoryBudget, MemoryReservation} from '../memory/memory-budget.js';

/** Why a request is answered without being forwarded. */
export type Rejection = {code: ErrorCode; reason: string};

/** Limits of one body. */
export type BodyLimits = {
	maximumBytes: number;
	/** Time in milliseconds for it to arrive. */
	timeout: number;
};

const noMemory: Rejection = {code: '3002', reason: 'this instance has no memory for the body'};

/** Body of one request in the memory budget. It can be given up until it is pinned. */
export class RequestBody {
	readonly #collector = new ByteCollector();
	readonly #reservation: MemoryReservation;
	#onGiveUp: ((rejection: Rejection) => void) | undefined;
	#isGivenUp = false;

	/** @param owner - Customer of the request. */
	constructor(memory: MemoryBudget, owner: string) {
		this.#reservation = memory.reserve({
			source: 'request-bodies', owner, bytes: 0, giveUp: () => {
				this.#giveUp();
			},
		})!;
	}

	/** Bytes in the budget. */
	get keptBytes(): number {
		return this.#reservation.bytes;
	}

	/** Sets what is called when the body is given up, at once if it has been. */
	onGiveUp(listener: (rejection: Rejection) => void): void {
		this.#onGiveUp = listener;
		if (this.#isGivenUp) {
			listener(noMemory);
		}
	}

	/** Keeps the body from now on, because it is passed on. */
	pin(): void {
		this.#reservation.pin();
	}

	/** Returns its memory. */
	release(): void {
		this.#onGiveUp = undefined;
		this.#collector.clear();
		this.#reservation.release();
	}

	/**
	 * Receives the whole body.
	 *
	 * @param rejections - Holds a function that ends the reception with a rejection while it lasts.
	 */
	async receive(request: http.IncomingMessage, {maximumBytes, timeout}: BodyLimits, rejections: Set<(rejection: Rejection) => void>): Promise<Uint8Array | Rejection> {
		return new Promise(resolve => {
			const settle = (outcome: Uint8Array | Rejection) => {
				clearTimeout(timer);
				rejections.delete(settle);
				// A connection keeps its last request, which must not keep the body.
				request.off('data', receive).off('end', end).off('error', fail).on('error', ignoreError);
				if ('code' in outcome) {
					this.release();
				}

				resolve(outcome);
			};

			const receive = (chunk: Uint8Array) => {
				const size = this.#collector.length + chunk.length;
				if (size > maximumBytes) {
					settle({code: '1003', reason: `body exceeds the limit of ${maximumBytes} bytes`});
				} else if (this.#reservation.resize(size)) {
					this.#collector.append(chunk);
				} else {
					settle(noMemory);
				}
			};

			const end = () => {
				settle(this.#collector.take());
			};

			const fail = (error: Error) => {
				settle({code: '1012', reason: `receiving the body failed: ${error.message}`});
			};

			const timer = setTimeout(() => {
				settle({code: '1012', reason: 'the body was not received within the timeout of the request'});
			}, Math.max(0, timeout));
			rejections.add(settle);
			this.onGiveUp(settle);
			request.on('data', receive);
			request.once('end', end);
			request.once('error', fail);
		});
	}

	#giveUp(): void {
		this.#isGivenUp = true;
		this.#collector.clear();
		this.#onGiveUp?.(noMemory);
	}
}

function ignoreError(): void {
	// The request has been answered, or its response closes.
}

/** Why a request whose body has an announced size is refused at once; undefined if it may be sent. */
export function describeUnfitBody(memory: MemoryBudget, owner: string, announced: number): Rejection | undefined {
	return memory.canReserve({source: 'request-bodies', owner, bytes: announced}) ? undefined : {code: '3002', reason: `this instance has no memory for a body of ${announced} bytes`};
}
