/**
 * Deferred requests in the table, their bodies and answers in the object store.
 *
 * @module
 */
import {CarobquayError} from '../errors/errors.js';
import type {ObjectStore} from '../platform/object-store.js';
import type {SettledOutcome} from '../platform/settled-write.js';
import type {
	TableItem, TableService, TableWrite, Transaction,
} from '../platform/table.js';
import {
	answerKey, bodyKey, deferredShape, idempotencyShape, itemKey, itemPrefix, sha256, type Deferred, type StoredDeferred,
} from './item.js';

/** Items asked for in one listing. */
const pageSize = 500;

/** Commits transactions whose outcome is settled; GroupCommit does. */
export interface TransactionWriter {
	submit(transaction: Transaction): Promise<SettledOutcome>;
}

export type DeferredStoreOptions = {
	table: TableService;
	objects: ObjectStore;
	writer: TransactionWriter;
};

/** Reads and writes deferred requests; every write is conditional. */
export class DeferredStore {
	readonly #options: DeferredStoreOptions;

	constructor(options: DeferredStoreOptions) {
		this.#options = options;
	}

	/**
	 * Stores a request with its body.
	 *
	 * @returns the stored request, or the id of one accepted before under the same idempotency key.
	 * @throws {CarobquayError} 1011 where the key was used with another body; 5001, 5003 or 5004 where nothing was accepted; 5002 where it is unknown.
	 */
	async accept(value: Deferred, body: Uint8Array): Promise<StoredDeferred | string> {
		const bodyDigest = sha256(body);
		const before = await this.#acceptedBefore(value, bodyDigest);
		if (before !== undefined) {
			return before;
		}

		await this.#options.objects.put(bodyKey(value.id), body);
		const outcome = await this.#options.writer.submit(acceptance(value, bodyDigest));
		if (outcome.outcome === 'conflict') {
			await this.#deleteQuietly(bodyKey(value.id));
			return this.#afterConflict(value, bodyDigest);
		}

		const version = this.#committedVersion(outcome, value.id);
		return version === undefined ? (this.#readKnown(value.id)) : {value, version};
	}

	/** @throws {CarobquayError} 5001 or 5003. */
	async read(id: string): Promise<StoredDeferred | undefined> {
		const [item] = await this.#options.table.read([itemKey(id)]);
		return item && parse(item);
	}

	/** All deferred requests. */
	async list(): Promise<StoredDeferred[]> {
		const found: TableItem[] = [];
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const page = await this.#options.table.list(itemPrefix, {after: found.at(-1)?.key, limit: pageSize});
			found.push(...page);
			if (page.length < pageSize) {
				return found.map(item => parse(item));
			}
		}
	}

	/**
	 * Replaces a request, unless anyone has written it since.
	 *
	 * @returns undefined where another write came first.
	 * @throws {CarobquayError} 5001 or 5003 where nothing was written, 5002 where it is unknown.
	 */
	async replace({value: {id}, version}: StoredDeferred, value: Deferred): Promise<StoredDeferred | undefined> {
		const outcome = await this.#options.writer.submit({
			conditions: [{key: itemKey(id), version}], writes: [{kind: 'put', key: itemKey(id), value}],
		});
		if (outcome.outcome === 'conflict') {
			return undefined;
		}

		const next = this.#committedVersion(outcome, id);
		if (next !== undefined) {
			return {value, version: next};
		}

		// The answer was lost after the commit; the item may have been written again since.
		const stored = await this.read(id);
		return stored && isSame(stored.value, value) ? stored : undefined;
	}

	/** Deletes an ended request with all that it kept, unless anyone has written it since. */
	async remove({value, version}: StoredDeferred): Promise<void> {
		const writes: TableWrite[] = [{kind: 'delete', key: itemKey(value.id)}];
		if (value.idempotencyItem !== undefined) {
			writes.push({kind: 'delete', key: value.idempotencyItem});
		}

		const outcome = await this.#options.writer.submit({conditions: [{key: itemKey(value.id), version}], writes});
		if (outcome.outcome === 'committed') {
			const keys = Array.from({length: value.attempt}, (_, index) => answerKey(value.id, index + 1));
			await Promise.all([bodyKey(value.id), ...keys].map(async key => this.#deleteQuietly(key)));
		}
	}

	/** @throws {CarobquayError} 5004, also where the body is not there. */
	async body(id: string): Promise<Uint8Array> {
		const body = await this.#options.objects.get(bodyKey(id));
		if (body === undefined) {
			throw new CarobquayError('5004', {message: `the body of deferred request ${id} is not in the object store`});
		}

		return body;
	}

	/** @throws {CarobquayError} 5004. */
	async putAnswer(key: string, answer: Uint8Array): Promise<void> {
		await this.#options.objects.put(key, answer);
	}

	/** @throws {CarobquayError} 5004, also where the answer is not whole. */
	async answer(key: string, digest: string): Promise<Uint8Array> {
		const answer = await this.#options.objects.get(key);
		if (answer === undefined || sha256(answer) !== digest) {
			throw new CarobquayError('5004', {message: `the answer under "${key}" is not whole in the object store`, ran: 'yes'});
		}

		return answer;
	}

	async #acceptedBefore({idempotencyItem}: Deferred, bodyDigest: string): Promise<string | undefined> {
		if (idempotencyItem === undefined) {
			return undefined;
		}

		const [item] = await this.#options.table.read([idempotencyItem]);
		if (item === undefined) {
			return undefined;
		}

		const {id, bodyDigest: firstDigest} = idempotencyShape.parse(item.value);
		if (firstDigest !== bodyDigest) {
			throw new CarobquayError('1011', {message: `the idempotency key was used for request ${id} with another body`});
		}

		return id;
	}

	async #afterConflict(value: Deferred, bodyDigest: string): Promise<string> {
		const id = await this.#acceptedBefore(value, bodyDigest);
		if (id === undefined) {
			throw new CarobquayError('5001', {message: `deferred request ${value.id} met another write and was not accepted`});
		}

		return id;
	}

	/** Version written; undefined where it was lost with the answer. */
	#committedVersion(outcome: Exclude<SettledOutcome, {outcome: 'conflict'}>, id: string): number | undefined {
		if (outcome.outcome === 'committed') {
			return outcome.versions?.[itemKey(id)];
		}

		if (outcome.outcome === 'refused') {
			throw outcome.error;
		}

		throw new CarobquayError(outcome.outcome === 'fenced' ? '5001' : '5002', {message: `the write of deferred request ${id} is ${outcome.outcome}`});
	}

	async #readKnown(id: string): Promise<StoredDeferred | string> {
		try {
			return await this.read(id) ?? id;
		} catch {
			// It is accepted all the same; the next sweep finds and runs it.
			return id;
		}
	}

	/** Deletes what nobody refers to any more; what stays behind costs space alone. */
	async #deleteQuietly(key: string): Promise<void> {
		try {
			await this.#options.objects.delete(key);
		} catch (error) {
			if (!(error instanceof CarobquayError)) {
				throw error;
			}
		}
	}
}

/** Whether a stored value is the one that was written. */
export function isSame(stored: Deferred, written: Deferred): boolean {
	return JSON.stringify(deferredShape.parse(stored)) === JSON.stringify(deferredShape.parse(written));
}

function acceptance(value: Deferred, bodyDigest: string): Transaction {
	const {id, idempotencyItem} = value;
	const key = itemKey(id);
	return {
		conditions: [{key, version: 0}, ...(idempotencyItem === undefined ? [] : [{key: idempotencyItem, version: 0}])],
		writes: [
			{kind: 'put', key, value},
			...(idempotencyItem === undefined ? [] : [{kind: 'put' as const, key: idempotencyItem, value: {id, bodyDigest}}]),
		],
	};
}

function parse({value, version}: TableItem): StoredDeferred {
	return {value: deferredShape.parse(value), version};
}
