/**
 * Answers to callers who send and fetch deferred requests.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {match} from 'ts-pattern';
import type {DeferredTask} from '../deferred/deferred-task.js';
import {idempotencyItemKey, type Deferred, type DeferredEnding} from '../deferred/item.js';
import {errorCatalogue, type ErrorCode} from '../errors/catalogue.js';
import {CarobquayError} from '../errors/errors.js';
import type {RequestMetadata} from '../request/request-lifecycle.js';
import {headerNames} from './headers.js';

/** Time in seconds after which a caller should poll again. */
const pollInterval = 5;

/** Sends the answers about deferred requests. */
export class DeferredCallers {
	readonly #task: DeferredTask;

	constructor(task: DeferredTask) {
		this.#task = task;
	}

	/**
	 * Accepts a request and tells its caller where to fetch the answer.
	 *
	 * @param time - Time in milliseconds until the deadline.
	 * @throws {CarobquayError} as DeferredTask.accept does.
	 */
	async accept({requestId, customer, requestClass, nonIdempotent, idempotencyKey}: RequestMetadata, {time, body, outgoing}: {
		time: number; body: readonly Uint8Array[]; outgoing: ServerResponse;
	}): Promise<void> {
		const now = Date.now();
		const id = await this.#task.accept({
			id: requestId,
			customer,
			requestClass,
			nonIdempotent,
			...(idempotencyKey !== undefined && {idempotencyItem: idempotencyItemKey(customer, idempotencyKey)}),
			admittedAt: now,
			deadline: now + Math.round(time),
		}, Buffer.concat(body));
		sendUnfinished(outgoing, id, 'accepted');
	}

	/**
	 * Sends a request as it stands, with its whole answer once it has one.
	 *
	 * @throws {CarobquayError} 1010 where it is unknown or of another customer, the error with which it failed, 5001, 5003 or 5004.
	 */
	async fetch(id: string, customer: string, outgoing: ServerResponse): Promise<void> {
		const found = await this.#task.read(id, customer);
		if (found === undefined) {
			throw new CarobquayError('1010', {message: `customer "${customer}" has no deferred request ${id}`});
		}

		if (found.ending === undefined) {
			sendUnfinished(outgoing, id, found.state);
		} else {
			await this.#sendEnding(id, found.ending, outgoing);
		}
	}

	async #sendEnding(id: string, ending: DeferredEnding, outgoing: ServerResponse): Promise<void> {
		await match(ending)
			.with({outcome: 'failed'}, ({code, message, ran}) => {
				throw new CarobquayError(isErrorCode(code) ? code : '5900', {message, ran});
			})
			.with({outcome: 'answered'}, async ({answerKey, answerDigest}) => {
				const answer = await this.#task.answer(answerKey, answerDigest);
				outgoing.writeHead(200, {
					'content-type': 'application/json',
					'content-length': answer.byteLength,
					[headerNames.requestId]: id,
					[headerNames.ran]: 'yes',
				});
				outgoing.end(answer);
			})
			.exhaustive();
	}
}

function sendUnfinished(outgoing: ServerResponse, id: string, status: Deferred['state']): void {
	const location = `/v1/requests/${id}`;
	outgoing.writeHead(202, {
		'content-type': 'application/json', 'retry-after': String(pollInterval), location, [headerNames.requestId]: id,
	});
	outgoing.end(JSON.stringify({
		id, object: 'deferred', status, poll: location,
	}));
}

function isErrorCode(code: string): code is ErrorCode {
	return Object.hasOwn(errorCatalogue, code);
}
