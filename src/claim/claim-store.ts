/**
 * Claims in the table service: each transition is one conditional write whose lost answer is settled first.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {match} from 'ts-pattern';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import {Backoff, sleep} from '../platform/backoff.js';
import type {SettledOutcome} from '../platform/settled-write.js';
import type {TableItem, TableService, Transaction} from '../platform/table.js';
import type {EventLog} from '../telemetry/log.js';
import {
	type AnswerPlace, type ClaimEnding, type ClaimRecord, type ClaimRequest, type ClaimTimes, type ClaimVerdict,
	decideClaim, isSameAttempt, markEnded, markSent, parseClaim,
} from './claim.js';

/** Bounds in time of the states, in milliseconds, where none are set. */
const defaultTimes: ClaimTimes = {lease: 10_000, endingGrace: 2000, retention: 3_600_000};

/** Time in milliseconds for which the writing of an ending is tried again. */
const endingTimeout = 900_000;

/** Greatest wait in milliseconds between two attempts to write an ending. */
const endingMaximumWait = 5000;

/** Claims that an asker tries to make before it reports the key as under way. */
const maximumClaimAttempts = 3;

/** Commits one transaction and settles its outcome; GroupCommit does. */
export interface Committer {
	submit(transaction: Transaction): Promise<SettledOutcome>;
}

export type ClaimStoreOptions = {
	table: Pick<TableService, 'read'>;
	committer: Committer;
	log: EventLog;
	/**
	 * Bounds in time of the states.
	 * @default lease 10 s, 2 s beyond the deadline for an ending, endings kept for 1 h
	 */
	times?: ClaimTimes;
	/**
	 * Whether an owner surely sends nothing more.
	 * @default nobody is known to be dead; the states' bounds in time decide
	 */
	isOwnerDead?: (owner: string) => boolean;
};

/** A claim that this process made. */
export type HeldClaim = {key: string; record: ClaimRecord; version: number};

/** What an asker gets: the claim, or what there is to tell. */
export type ClaimResult
	= | {kind: 'held'; claim: HeldClaim}
		| {kind: 'answered'; answer: AnswerPlace};

/** Makes and ends claims. */
export class ClaimStore {
	readonly #options: ClaimStoreOptions;
	readonly #times: ClaimTimes;
	readonly #endings = new Set<Promise<void>>();

	constructor(options: ClaimStoreOptions) {
		this.#options = options;
		this.#times = options.times ?? defaultTimes;
	}

	/** Endings that are still to be written. */
	get pendingEndings(): number {
		return this.#endings.size;
	}

	/**
	 * Claims a key, or finds what became of it.
	 *
	 * @throws {CarobquayError} 1011, 4007 or 4008 for a key that was claimed before; 5001 where the table cannot tell.
	 */
	async claim(key: string, request: ClaimRequest): Promise<ClaimResult> {
		let existing: TableItem | undefined;
		for (let attempt = 0; attempt < maximumClaimAttempts; attempt++) {
			const verdict = this.#decide(existing, request);
			if (verdict.kind !== 'claim') {
				return resultOf(verdict, key);
			}

			const outcome = await this.#write(key, existing?.version ?? 0, verdict.record); // eslint-disable-line no-await-in-loop
			if (outcome.outcome === 'committed') {
				const claim = await this.#confirm(key, verdict.record, outcome.versions?.[key]); // eslint-disable-line no-await-in-loop
				return {kind: 'held', claim};
			}

			assertDecided(outcome, key);
			existing = outcome.outcome === 'conflict' ? presentItem(outcome.conflicts, key) : existing;
		}

		throw new CarobquayError('4007', {message: `claim "${key}" is contended by other instances`});
	}

	/**
	 * Records that the claimer is about to send. Only once this resolves may it send; nobody takes over from then on.
	 *
	 * @param deadline - Wall-clock time in milliseconds at which the request's deadline is over.
	 * @returns the claim to end later.
	 * @throws {CarobquayError} 4007 where another has taken the claim over; 5001 where the table cannot tell.
	 */
	async markSent(claim: HeldClaim, deadline: number): Promise<HeldClaim> {
		const record = markSent(claim.record, deadline, this.#times);
		const outcome = await this.#write(claim.key, claim.version, record);
		assertDecided(outcome, claim.key);
		if (outcome.outcome !== 'committed') {
			throw new CarobquayError('4007', {message: `claim "${claim.key}" attempt ${claim.record.attempt} was taken over before it was sent`});
		}

		return this.#confirm(claim.key, record, outcome.versions?.[claim.key]);
	}

	/** Writes an ending, in the background and again and again until the table has it. */
	async end(claim: HeldClaim, ending: ClaimEnding): Promise<void> {
		const written = this.#writeEnding(claim, ending).finally(() => {
			this.#endings.delete(written);
		});
		this.#endings.add(written);
		return written;
	}

	/** Resolves once all endings so far are written or given up. */
	async settled(): Promise<void> {
		await Promise.all(this.#endings);
	}

	#decide(existing: TableItem | undefined, request: ClaimRequest): ClaimVerdict {
		const record = existing === undefined ? undefined : parseClaim(existing.value);
		return decideClaim(record, request, {
			now: Date.now(), times: this.#times, isOwnerDead: this.#options.isOwnerDead ?? (() => false),
		});
	}

	async #write(key: string, version: number, value: ClaimRecord): Promise<SettledOutcome> {
		return this.#options.committer.submit({conditions: [{key, version}], writes: [{kind: 'put', key, value}]});
	}

	/** Finds the version of a write that surely committed; its answer may have been lost. */
	async #confirm(key: string, record: ClaimRecord, version: number | undefined): Promise<HeldClaim> {
		if (version !== undefined) {
			return {key, record, version};
		}

		const item = await this.#read(key);
		const current = item && parseClaim(item.value);
		if (item === undefined || current === undefined || !isSameAttempt(current, record) || current.state !== record.state) {
			throw new CarobquayError('4007', {message: `claim "${key}" attempt ${record.attempt} was taken over before it was sent`});
		}

		return {key, record, version: item.version};
	}

	async #read(key: string): Promise<TableItem | undefined> {
		try {
			const [item] = await this.#options.table.read([key]);
			return item;
		} catch (error) {
			throw unavailable(key, error);
		}
	}

	async #writeEnding(claim: HeldClaim, ending: ClaimEnding): Promise<void> {
		const giveUpAt = performance.now() + endingTimeout;
		const backoff = new Backoff({maximum: endingMaximumWait});
		let held: HeldClaim | undefined = claim;
		while (held !== undefined && performance.now() < giveUpAt) {
			try {
				const record = markEnded(held.record, ending, {now: Date.now(), times: this.#times});
				const outcome = await this.#write(held.key, held.version, record); // eslint-disable-line no-await-in-loop
				if (outcome.outcome === 'committed') {
					return;
				}

				if (outcome.outcome === 'conflict') {
					held = await this.#stillHeld(held); // eslint-disable-line no-await-in-loop
					continue;
				}
			} catch (error) {
				this.#options.log.debug('claim.ending-failed', {claim: claim.key, error: errorMessage(error)});
			}

			await sleep(backoff.next()); // eslint-disable-line no-await-in-loop
		}

		this.#options.log.warn('claim.ending-lost', {claim: claim.key, request: claim.record.requestId, outcome: ending.outcome});
	}

	/** The claim as the table has it now, where it is still this process's and not ended. */
	async #stillHeld({key, record}: HeldClaim): Promise<HeldClaim | undefined> {
		const item = await this.#read(key);
		const current = item && parseClaim(item.value);
		return item !== undefined && current !== undefined && isSameAttempt(current, record) && current.state !== 'ended'
			? {key, record: current, version: item.version}
			: undefined;
	}
}

/** @throws {CarobquayError} 5001 where the table did not take the write or cannot tell; nothing was sent yet. */
function assertDecided(outcome: SettledOutcome, key: string): void {
	match(outcome)
		.with({outcome: 'refused'}, ({error}) => {
			throw unavailable(key, error);
		})
		.with({outcome: 'unknown'}, () => {
			throw unavailable(key, undefined);
		})
		.with({outcome: 'committed'}, {outcome: 'conflict'}, {outcome: 'fenced'}, () => undefined)
		.exhaustive();
}

function unavailable(key: string, cause: unknown): CarobquayError {
	return new CarobquayError('5001', {
		message: `claim "${key}" cannot be made without the table, so that nothing was sent`,
		ran: 'no',
		cause,
		retryAfter: cause instanceof CarobquayError ? cause.retryAfter : undefined,
	});
}

/** An absent key is among the conflicts with version 0. */
function presentItem(conflicts: readonly TableItem[], key: string): TableItem | undefined {
	return conflicts.find(item => item.key === key && item.version > 0);
}

function resultOf(verdict: Exclude<ClaimVerdict, {kind: 'claim'}>, key: string): ClaimResult {
	return match(verdict)
		.with({kind: 'answered'}, ({answer}): ClaimResult => ({kind: 'answered', answer}))
		.with({kind: 'key-reused'}, () => {
			throw new CarobquayError('1011', {message: `the idempotency key of claim "${key}" was used for a request with another body`});
		})
		.with({kind: 'under-way'}, () => {
			throw new CarobquayError('4007', {message: `the request of claim "${key}" is under way`});
		})
		.with({kind: 'outcome-unknown'}, () => {
			throw new CarobquayError('4008', {message: `the request of claim "${key}" was sent and its ending is lost`});
		})
		.with({kind: 'failed'}, ({ending}) => {
			throw new CarobquayError('4008', {message: `the one attempt of claim "${key}" failed with ${ending.code}: ${ending.message}`, ran: ending.ran});
		})
		.exhaustive();
}
