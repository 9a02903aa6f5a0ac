/**
 * Requests of the entry bench: direct to the engine stand-in, and through an entry instance.
 *
 * @module
 */
import {Pool} from 'undici';
import {testKey} from '../../src/__tests__/support/processes.js';

/** Bytes of a short prompt: about a thousand tokens. */
const shortPromptBytes = 4000;

/** Bytes of a large prompt: about a million tokens. */
const largePromptBytes = 4_000_000;

/** Answer tokens of every request. */
const answerTokens = 2;

/** Longest wait in milliseconds for an answer. */
const timeout = 120_000;

/** Text that is the same in no two prompts, so that no prefix cache helps. */
function promptText(bytes: number, number: number): string {
	const word = `${number.toString(36)} word `;
	return word.repeat(Math.ceil(bytes / word.length)).slice(0, bytes);
}

/** Body of a request whose whole answer is streamed by the engine stand-in. */
function body(bytes: number, number: number): string {
	return JSON.stringify({
		model: 'stand-in', max_tokens: answerTokens, messages: [{role: 'user', content: promptText(bytes, number)}],
	});
}

/** Body of a short request. */
export function shortBody(number: number): string {
	return body(shortPromptBytes, number);
}

/** Body of a request of about a million tokens. */
export function largeBody(number: number): string {
	return body(largePromptBytes, number);
}

/** Sends to the engine stand-in itself. */
export class DirectCaller {
	readonly #pool: Pool;
	#sent = 0;

	constructor(address: string) {
		this.#pool = new Pool(`http://${address}`, {connections: 4, bodyTimeout: timeout, headersTimeout: timeout});
	}

	async send(text: string): Promise<void> {
		this.#sent += 1;
		const response = await this.#pool.request({
			method: 'POST',
			path: '/v1/streams',
			headers: {
				'content-type': 'application/json',
				'x-carobquay-request': `direct-${this.#sent}`,
				'x-carobquay-attempt': '1',
				'x-carobquay-owner': 'bench',
				'x-carobquay-priority': '20',
				'x-carobquay-deadline': String(timeout),
				'x-carobquay-orphan-lifetime': '10000',
			},
			body: text,
		});
		const answer = await response.body.text();
		if (response.statusCode !== 200 || !answer.includes('event: end')) {
			throw new Error(`direct request failed with ${response.statusCode}: ${answer.slice(0, 500)}`);
		}
	}

	async close(): Promise<void> {
		await this.#pool.close();
	}
}

/** Sends through an entry instance. */
export class EntryCaller {
	readonly #pool: Pool;

	constructor(address: string, connections: number) {
		this.#pool = new Pool(`http://${address}`, {connections, bodyTimeout: timeout, headersTimeout: timeout});
	}

	async send(text: string, requestClass: 'question' | 'review'): Promise<void> {
		const response = await this.#pool.request({
			method: 'POST',
			path: '/v1/chat/completions',
			headers: {authorization: `Bearer ${testKey}`, 'content-type': 'application/json', 'carobquay-class': requestClass},
			body: text,
		});
		const answer = await response.body.text();
		if (response.statusCode !== 200) {
			throw new Error(`request failed with ${response.statusCode}: ${answer.slice(0, 500)}`);
		}
	}

	async close(): Promise<void> {
		await this.#pool.close();
	}
}
