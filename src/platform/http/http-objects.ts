/**
 * Object store over HTTP.
 *
 * @module
 */
import {z} from 'zod';
import {type CallKind, toObjectsError} from '../failure.js';
import {type ObjectStore, type PutOptions} from '../object-store.js';
import {
	assertStatus, type HttpAnswer, type HttpCall, HttpChannel, type HttpChannelOptions, parseAnswer,
} from './http-channel.js';

/** Status of a put that found its key present. */
const presentStatus = 412;

const keysAnswer = z.object({keys: z.array(z.string())});

/** The object store as PUT, GET and DELETE /v1/objects/KEY and GET /v1/objects. */
export class HttpObjects implements ObjectStore {
	readonly #channel: HttpChannel;

	constructor(options: HttpChannelOptions) {
		this.#channel = new HttpChannel(options);
	}

	async put(key: string, bytes: Uint8Array, {onlyIfAbsent = false}: PutOptions = {}, signal?: AbortSignal): Promise<boolean> {
		const headers: Record<string, string> = onlyIfAbsent ? {'if-none-match': '*'} : {};
		const {status} = await this.#call('write', [200, presentStatus], {
			method: 'PUT', path: objectPath(key), headers, body: bytes, signal,
		});
		return status !== presentStatus;
	}

	async get(key: string, signal?: AbortSignal): Promise<Uint8Array | undefined> {
		const {status, bytes} = await this.#call('read', [200, 404], {method: 'GET', path: objectPath(key), signal});
		return status === 200 ? new Uint8Array(bytes) : undefined;
	}

	async list(prefix: string, {after = '', limit}: {after?: string; limit?: number} = {}, signal?: AbortSignal): Promise<string[]> {
		const query = new URLSearchParams({prefix, after, ...(limit !== undefined && {limit: String(limit)})});
		const answer = await this.#call('read', [200], {method: 'GET', path: `/v1/objects?${query.toString()}`, signal});
		try {
			return parseAnswer(keysAnswer, answer).keys;
		} catch (error) {
			throw toObjectsError(error, 'read');
		}
	}

	async delete(key: string, signal?: AbortSignal): Promise<void> {
		await this.#call('write', [200], {method: 'DELETE', path: objectPath(key), signal});
	}

	async close(): Promise<void> {
		await this.#channel.close();
	}

	async #call(kind: CallKind, statuses: readonly number[], call: HttpCall): Promise<HttpAnswer> {
		try {
			const answer = await this.#channel.call(call);
			assertStatus(answer, statuses);
			return answer;
		} catch (error) {
			throw toObjectsError(error, kind);
		}
	}
}

function objectPath(key: string): string {
	return `/v1/objects/${encodeURIComponent(key)}`;
}
