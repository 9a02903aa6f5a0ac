/**
 * Table service over HTTP.
 *
 * @module
 */
import {z} from 'zod';
import {toTableError} from '../failure.js';
import {
	type ListOptions, type TableItem, type TableService, type Transaction, type TransactionResult,
} from '../table.js';
import {
	assertStatus, HttpChannel, type HttpChannelOptions, parseAnswer,
} from './http-channel.js';

const version = z.int().nonnegative();
const item = z.object({key: z.string(), version, value: z.unknown()});
const itemsAnswer = z.object({items: z.array(item)});
const transactAnswer = z.discriminatedUnion('committed', [
	z.object({committed: z.literal(true), versions: z.record(z.string(), version)}),
	z.object({committed: z.literal(false), conflicts: z.array(item)}),
]);

/** The table service as POST /v1/transact, POST /v1/read and GET /v1/items. */
export class HttpTable implements TableService {
	readonly #channel: HttpChannel;

	constructor(options: HttpChannelOptions) {
		this.#channel = new HttpChannel(options);
	}

	async read(keys: readonly string[], signal?: AbortSignal): Promise<TableItem[]> {
		try {
			return await this.#items(await this.#post('/v1/read', {keys}, signal));
		} catch (error) {
			throw toTableError(error, 'read');
		}
	}

	async list(prefix: string, {after = '', limit}: ListOptions = {}, signal?: AbortSignal): Promise<TableItem[]> {
		const query = new URLSearchParams({prefix, after, ...(limit !== undefined && {limit: String(limit)})});
		try {
			return await this.#items(await this.#channel.call({method: 'GET', path: `/v1/items?${query.toString()}`, signal}));
		} catch (error) {
			throw toTableError(error, 'read');
		}
	}

	async transact(transaction: Transaction, signal?: AbortSignal): Promise<TransactionResult> {
		try {
			const answer = await this.#post('/v1/transact', transaction, signal);
			assertStatus(answer, [200, 409]);
			return parseAnswer(transactAnswer, answer);
		} catch (error) {
			throw toTableError(error, 'write');
		}
	}

	async close(): Promise<void> {
		await this.#channel.close();
	}

	async #post(path: string, body: unknown, signal: AbortSignal | undefined) {
		return this.#channel.call({
			method: 'POST', path, headers: {'content-type': 'application/json'}, body: JSON.stringify(body), signal,
		});
	}

	async #items(answer: Awaited<ReturnType<HttpChannel['call']>>): Promise<TableItem[]> {
		assertStatus(answer, [200]);
		return parseAnswer(itemsAnswer, answer).items;
	}
}
