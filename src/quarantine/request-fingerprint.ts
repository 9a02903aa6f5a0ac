/**
 * Fingerprints by which requests that crash engines are recognized when they come again.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import type {RequestHeaderValues} from '../serving/model.js';

/** Longest id of a prompt part that is used as it is; longer ones are hashed. */
const maximumPartLength = 32;

/** Characters of a hash in a fingerprint. */
const hashLength = 22;

/** What identifies a request. */
export type IdentifiedRequest = {
	/** Path with query. */
	path: string;
	/** Name of the customer; undefined for an anonymous one. */
	customer: string | undefined;
	body: Uint8Array | undefined;
	headerValues: Pick<RequestHeaderValues, 'sharedPromptParts'>;
};

/** Fingerprints of one request. */
export interface RequestFingerprints {
	/** Fingerprints of the shared parts of its prompt, in their order. */
	readonly promptParts: readonly string[];
	/** Fingerprint of the request as a whole: the same for requests of one customer with the same path and body. */
	readonly wholeRequest: string;
	/** Whether the request has a body, by which it differs from others of its customer and path. */
	readonly hasBody: boolean;
}

/** Fingerprints of a caller's request. Its body is hashed only when that is needed, once. */
export class CallerRequestFingerprints implements RequestFingerprints {
	readonly promptParts: readonly string[];
	readonly #request: IdentifiedRequest;
	#wholeRequest: string | undefined;

	constructor(request: IdentifiedRequest) {
		this.#request = request;
		this.promptParts = request.headerValues.sharedPromptParts.map(id => `part:${id.length <= maximumPartLength ? id : hash([id])}`);
	}

	get hasBody(): boolean {
		return (this.#request.body?.length ?? 0) > 0;
	}

	get wholeRequest(): string {
		const {path, customer = '', body = ''} = this.#request;
		this.#wholeRequest ??= `request:${hash([path, customer, body])}`;
		return this.#wholeRequest;
	}
}

function hash(texts: ReadonlyArray<string | Uint8Array>): string {
	const digest = createHash('sha256');
	for (const text of texts) {
		// The length keeps texts apart that join to the same bytes.
		digest.update(`${text.length} `).update(text);
	}

	return digest.digest('base64url').slice(0, hashLength);
}
