/**
 * Task that accepts deferred requests, carries on its own and those of dead instances, and deletes what was kept long enough.
 *
 * @module
 */
import {CarobquayError, errorMessage} from '../errors/errors.js';
import type {ObjectStore} from '../platform/object-store.js';
import type {TableService} from '../platform/table.js';
import type {EventLog} from '../telemetry/log.js';
import {DeferredRun, type DeferredRunner} from './deferred-run.js';
import {DeferredStore, type TransactionWriter} from './deferred-store.js';
import type {Deferred, StoredDeferred} from './item.js';
import {LeaseWatch, OwnerLease} from './owner-lease.js';

/** Sweeps in the time of one lease. */
const sweepsPerLease = 2;

/** Told of what this task does with requests. */
export type DeferredListener = {
	/** This instance carries a request on, for the first time or after another. */
	taken: (request: Deferred) => void;
	/** This instance has ended a request. */
	ended: (request: Deferred) => void;
	/** Another instance has taken a request from this one. */
	lost: (request: Deferred) => void;
};

export type DeferredTaskOptions = {
	table: TableService;
	objects: ObjectStore;
	writer: TransactionWriter;
	runner: DeferredRunner;
	log: EventLog;
	/** Name and incarnation of this instance. */
	owner: string;
	/** Time in milliseconds without a renewal after which a request is taken over. */
	leaseTime: number;
	/** Time in milliseconds for which an ended request can be fetched. */
	keepTime: number;
	listener: DeferredListener;
};

/** Deferred requests of one instance. */
export class DeferredTask {
	readonly #options: DeferredTaskOptions;
	readonly #store: DeferredStore;
	readonly #lease: OwnerLease;
	readonly #watch: LeaseWatch;
	readonly #running = new Map<string, Promise<void>>();
	readonly #stopping = new AbortController();
	#closing = false;
	#sweeping = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: DeferredTaskOptions) {
		this.#options = options;
		const {table, log, owner, leaseTime} = options;
		this.#store = new DeferredStore(options);
		this.#lease = new OwnerLease({
			table, log, owner, duration: leaseTime,
		});
		this.#watch = new LeaseWatch(table, leaseTime);
	}

	/** Requests that this instance carries on now. */
	get running(): number {
		return this.#running.size;
	}

	start(): void {
		this.#lease.start();
		this.#timer = setInterval(() => {
			void this.#sweep();
		}, this.#options.leaseTime / sweepsPerLease);
	}

	/**
	 * Accepts a request durably and begins to carry it on.
	 *
	 * @returns its id, which is that of an earlier request under the same idempotency key.
	 * @throws {CarobquayError} 3006 at shutdown, 1011, 5001, 5003 or 5004 where nothing was accepted; 5002 where it is unknown.
	 */
	async accept(request: Omit<Deferred, 'owner' | 'state' | 'attempt' | 'bodyBytes'>, body: Uint8Array): Promise<string> {
		if (this.#closing) {
			throw new CarobquayError('3006', {message: 'this instance is shutting down and takes no deferred requests'});
		}

		if (!this.#lease.isHeld) {
			throw new CarobquayError('5001', {message: 'this instance holds no lease, so that it accepts no deferred requests'});
		}

		const value: Deferred = {
			...request, bodyBytes: body.byteLength, owner: this.#options.owner, state: 'accepted', attempt: 0,
		};
		const accepted = await this.#store.accept(value, body);
		if (typeof accepted === 'string') {
			return accepted;
		}

		this.#take(accepted);
		return request.id;
	}

	/**
	 * A request as it stands; undefined where it is unknown or of another customer.
	 *
	 * @throws {CarobquayError} 5001 or 5003.
	 */
	async read(id: string, customer: string): Promise<Deferred | undefined> {
		const stored = await this.#store.read(id);
		return stored?.value.customer === customer ? stored.value : undefined;
	}

	/** @throws {CarobquayError} 5004, also where the answer is not whole. */
	async answer(key: string, digest: string): Promise<Uint8Array> {
		return this.#store.answer(key, digest);
	}

	/** Takes nothing new; resolves when what this instance carries on has ended. */
	async drain(): Promise<void> {
		this.#closing = true;
		clearInterval(this.#timer);
		await Promise.all(this.#running.values());
	}

	/** Stops at once and leaves what is unfinished to others. */
	async stop(): Promise<void> {
		this.#closing = true;
		clearInterval(this.#timer);
		this.#lease.stop();
		this.#stopping.abort(new CarobquayError('3006', {message: 'this instance stops', ran: 'unknown'}));
		await Promise.all(this.#running.values());
		await this.#lease.release();
	}

	async #sweep(): Promise<void> {
		if (this.#sweeping) {
			return;
		}

		this.#sweeping = true;
		try {
			await this.#watch.refresh();
			const requests = await this.#store.list();
			for (const stored of requests) {
				await this.#look(stored); // eslint-disable-line no-await-in-loop
			}

			await this.#watch.removeExpired(new Set(requests.map(({value}) => value.owner)));
		} catch (error) {
			this.#options.log.warn('deferred.sweep-failed', {reason: errorMessage(error)});
		}

		this.#sweeping = false;
	}

	async #look(stored: StoredDeferred): Promise<void> {
		const {id, state, owner, keepUntil = 0} = stored.value;
		if (state === 'ended') {
			if (keepUntil <= Date.now()) {
				await this.#store.remove(stored);
				this.#options.log.info('deferred.removed', {request: id});
			}

			return;
		}

		// One of its own that it does not run was accepted by a write whose answer was lost.
		const isLeft = owner === this.#options.owner ? !this.#running.has(id) : this.#watch.isExpired(owner);
		if (isLeft && !this.#closing) {
			this.#take(stored);
		}
	}

	#take(stored: StoredDeferred): void {
		const {id, owner, attempt} = stored.value;
		if (this.#running.has(id)) {
			return;
		}

		this.#options.log.info('deferred.taken', {request: id, from: owner, attempts: attempt});
		this.#options.listener.taken(stored.value);
		this.#running.set(id, this.#run(stored));
	}

	async #run(stored: StoredDeferred): Promise<void> {
		const {log, listener} = this.#options;
		const {id} = stored.value;
		try {
			const ended = await new DeferredRun({...this.#options, store: this.#store}, this.#stopping.signal).run(stored);
			if (ended === undefined) {
				listener.lost(stored.value);
			} else {
				listener.ended(ended);
			}

			log.info('deferred.run', {request: id, outcome: ended?.ending?.outcome ?? 'taken-by-another', attempts: ended?.attempt});
		} catch (error) {
			listener.lost(stored.value);
			log.warn('deferred.left', {request: id, reason: errorMessage(error)});
		} finally {
			this.#running.delete(id);
		}
	}
}
