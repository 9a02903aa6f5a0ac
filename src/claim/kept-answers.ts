/**
 * Keeps answers of claimed requests: small ones beside the claim, large ones in the object store.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import type {ObjectStore} from '../platform/object-store.js';
import type {ServiceAnswer} from '../upstream/service.js';
import type {EventLog} from '../telemetry/log.js';
import type {AnswerPlace, ClaimRecord} from './claim.js';

/** Longest answer in characters that is kept in the table. */
const maximumInlineLength = 4096;

const keptAnswerShape = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('service'), status: z.int(), contentType: z.string().optional(), body: z.base64(),
	}),
	z.object({
		kind: z.literal('prompt'),
		text: z.string(),
		completion: z.object({
			reason: z.enum(['stop', 'length', 'cancelled', 'deadline']),
			usage: z.object({promptTokens: z.number(), cachedTokens: z.number(), answerTokens: z.number()}),
			upstream: z.string(),
		}),
	}),
]);

/** An answer as it is kept; the body of a service's answer is in base64. */
export type KeptAnswer = z.infer<typeof keptAnswerShape>;

/** Form in which a service's answer is kept. */
export function keepServiceAnswer({status, contentType, body}: ServiceAnswer): KeptAnswer {
	return {
		kind: 'service', status, contentType, body: Buffer.from(body).toString('base64'),
	};
}

/**
 * A service's answer from the form in which it was kept.
 *
 * @throws {CarobquayError} 5900 for anything else.
 */
export function restoreServiceAnswer(answer: KeptAnswer | undefined): Pick<ServiceAnswer, 'status' | 'contentType' | 'body'> {
	if (answer?.kind !== 'service') {
		throw new CarobquayError('5900', {message: 'the kept answer is not that of a service', ran: 'yes'});
	}

	return {...answer, contentType: answer.contentType, body: Buffer.from(answer.body, 'base64')};
}

/** Puts answers away and fetches them. */
export class KeptAnswers {
	readonly #objects: ObjectStore;
	readonly #log: EventLog;

	constructor(objects: ObjectStore, log: EventLog) {
		this.#objects = objects;
		this.#log = log;
	}

	/** Keeps an answer. Where the object store does not take it, the place says that it is lost. */
	async keep(answer: KeptAnswer, {requestId, attempt}: ClaimRecord): Promise<AnswerPlace> {
		const text = JSON.stringify(answer);
		if (text.length <= maximumInlineLength) {
			return {place: 'inline', text};
		}

		const key = `answer/${requestId}/${attempt}`;
		try {
			await this.#objects.put(key, Buffer.from(text));
			return {place: 'objects', key};
		} catch (error) {
			this.#log.warn('claim.answer-lost', {request: requestId, error: errorMessage(error)});
			return {place: 'lost'};
		}
	}

	/**
	 * Fetches an answer.
	 *
	 * @throws {CarobquayError} 4008, ran yes, where it was not kept; 5004, ran yes, where the object store does not answer.
	 */
	async fetch(place: AnswerPlace): Promise<KeptAnswer> {
		if (place.place === 'lost') {
			throw new CarobquayError('4008', {message: 'the request ran, but its answer could not be kept', ran: 'yes'});
		}

		return keptAnswerShape.parse(JSON.parse(place.place === 'inline' ? place.text : await this.#read(place.key)));
	}

	/** Deletes an answer from the object store. */
	async forget(place: AnswerPlace): Promise<void> {
		if (place.place === 'objects') {
			await this.#objects.delete(place.key);
		}
	}

	async #read(key: string): Promise<string> {
		let bytes: Uint8Array | undefined;
		try {
			bytes = await this.#objects.get(key);
		} catch (error) {
			throw new CarobquayError('5004', {message: `the kept answer "${key}" cannot be read now`, ran: 'yes', cause: error});
		}

		if (bytes === undefined) {
			throw new CarobquayError('4008', {message: `the request ran, but its answer "${key}" is gone`, ran: 'yes'});
		}

		return Buffer.from(bytes).toString();
	}
}
