/**
 * Leases of instances on the deferred requests that they own: one item for each instance, whatever it owns.
 *
 * An observer measures a lease by its own monotonic clock, from when it saw the item change; no clocks are compared.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import type {TableService} from '../platform/table.js';
import type {EventLog} from '../telemetry/log.js';
import {ownerPrefix} from './item.js';

/** Renewals in the time of one lease. */
const renewalsPerLease = 3;

export type OwnerLeaseOptions = {
	table: TableService;
	log: EventLog;
	/** Incarnation that holds the lease. */
	owner: string;
	/** Time in milliseconds without a renewal after which others take over. */
	duration: number;
};

/** The lease of this instance. */
export class OwnerLease {
	readonly #options: OwnerLeaseOptions;
	#renewedAt = Number.NEGATIVE_INFINITY;
	#renewals = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: OwnerLeaseOptions) {
		this.#options = options;
	}

	/** Whether the lease was renewed in time, as far as this instance knows. */
	get isHeld(): boolean {
		return performance.now() - this.#renewedAt < this.#options.duration;
	}

	/** Renews at once and from then on. */
	start(): void {
		void this.#renew();
		this.#timer = setInterval(() => {
			void this.#renew();
		}, this.#options.duration / renewalsPerLease);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Gives the lease up, so that others take over at once. */
	async release(): Promise<void> {
		this.stop();
		const {table, log, owner} = this.#options;
		try {
			await table.transact({conditions: [], writes: [{kind: 'delete', key: ownerPrefix + owner}]});
		} catch (error) {
			log.warn('deferred.lease-not-released', {reason: errorMessage(error)});
		}
	}

	async #renew(): Promise<void> {
		const {table, log, owner} = this.#options;
		const requestedAt = performance.now();
		this.#renewals += 1;
		try {
			await table.transact({conditions: [], writes: [{kind: 'put', key: ownerPrefix + owner, value: {renewals: this.#renewals}}]});
			this.#renewedAt = requestedAt;
		} catch (error) {
			log.warn('deferred.lease-not-renewed', {reason: errorMessage(error)});
		}
	}
}

type SeenLease = {version: number; changedAt: number};

/** Watches the leases of other instances. */
export class LeaseWatch {
	readonly #table: TableService;
	readonly #duration: number;
	#seen = new Map<string, SeenLease>();

	constructor(table: TableService, duration: number) {
		this.#table = table;
		this.#duration = duration;
	}

	/** Reads all leases; throws CarobquayError 5001 or 5003. */
	async refresh(): Promise<void> {
		const items = await this.#table.list(ownerPrefix);
		const now = performance.now();
		this.#seen = new Map(items.map(({key, version}) => {
			const owner = key.slice(ownerPrefix.length);
			const seen = this.#seen.get(owner);
			return [owner, seen?.version === version ? seen : {version, changedAt: now}];
		}));
	}

	/** Whether an owner has given its lease up, or has not renewed it for its whole time. */
	isExpired(owner: string): boolean {
		const seen = this.#seen.get(owner);
		return seen === undefined || performance.now() - seen.changedAt >= this.#duration;
	}

	/** Deletes the expired leases of owners that own nothing any more, unless they were renewed since. */
	async removeExpired(owning: ReadonlySet<string>): Promise<void> {
		for (const [owner, {version}] of this.#seen) {
			if (this.isExpired(owner) && !owning.has(owner)) {
				const key = ownerPrefix + owner;
				// eslint-disable-next-line no-await-in-loop -- one write at a time keeps within the table's limits
				await this.#table.transact({conditions: [{key, version}], writes: [{kind: 'delete', key}]});
			}
		}
	}
}
