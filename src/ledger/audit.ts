/**
 * Reads the ledger offline and tells which promises were made, kept, broken or are unknown.
 *
 * @module
 */
import type {ObjectStore} from '../platform/object-store.js';
import {ChainCheck, type CheckedChains, type Finding} from './chain-check.js';
import {groupBy} from './group-by.js';
import type {RequestRecord} from './record.js';
import {dayOf, ledgerPrefix} from './segment.js';
import {
	deadlineGrace, judge, type Judgement, type RecordEvidence,
} from './verdict.js';

/** Milliseconds in a day. */
const day = 86_400_000;

/** Keys asked for in one listing. */
const pageSize = 1000;

/** Which promises to audit, by the time of their admission. */
export type AuditRange = {
	/** Wall-clock times in milliseconds; `to` is excluded. */
	from: number;
	to: number;
	/**
	 * Only promises to this customer.
	 * @default undefined: all customers
	 */
	customer?: string | undefined;
};

/** One promise with its evidence. */
export type AuditedPromise = Judgement & {
	requestId: string;
	customer: string;
	requestClass: string;
	/** Wall-clock times in milliseconds. */
	admittedAt: number;
	deadline: number;
	endedAt: number | undefined;
	/** Number of the error with which the request ended. */
	code: string | undefined;
	/** Keys of the segments that hold its records. */
	segments: string[];
};

export type AuditReport = {
	made: number;
	kept: number;
	broken: number;
	unknown: number;
	/** Segments read. */
	segments: number;
	findings: Finding[];
	promises: AuditedPromise[];
};

/**
 * Audits the promises of a range.
 *
 * @throws {CarobquayError} 5004.
 */
export async function audit(objects: ObjectStore, range: AuditRange): Promise<AuditReport> {
	// A segment lies under the day on which the one before it was sealed.
	const firstDay = range.from - day;
	let chains = await checkDays(objects, firstDay, range.to);
	const lastDeadline = latestDeadline(chains, range);
	if (dayOf(lastDeadline) > dayOf(range.to)) {
		chains = await checkDays(objects, firstDay, lastDeadline);
	}

	const promises = [...evidenceByRequest(chains, range).values()].map(evidence => auditedPromise(evidence));
	const count = (verdict: Judgement['verdict']) => promises.filter(promise => promise.verdict === verdict).length;
	return {
		made: promises.length,
		kept: count('kept'),
		broken: count('broken'),
		unknown: count('unknown'),
		segments: chains.segments.length,
		findings: chains.findings,
		promises: promises.toSorted((first, other) => first.admittedAt - other.admittedAt),
	};
}

async function checkDays(objects: ObjectStore, from: number, to: number): Promise<CheckedChains> {
	const keys: string[] = [];
	for (let time = from; dayOf(time) <= dayOf(to); time += day) {
		keys.push(...await listAll(objects, `${ledgerPrefix}${dayOf(time)}/`)); // eslint-disable-line no-await-in-loop
	}

	return new ChainCheck(objects).check(keys);
}

async function listAll(objects: ObjectStore, prefix: string): Promise<string[]> {
	const keys: string[] = [];
	for (;;) {
		const page = await objects.list(prefix, {after: keys.at(-1), limit: pageSize}); // eslint-disable-line no-await-in-loop
		keys.push(...page);
		if (page.length < pageSize) {
			return keys;
		}
	}
}

/** Until when promises of the range may have ended. */
function latestDeadline({segments}: CheckedChains, range: AuditRange): number {
	let latest = range.to;
	for (const record of segments.flatMap(({records}) => records)) {
		if (record.kind !== 'gap' && isInRange(record, range)) {
			latest = Math.max(latest, record.promise.deadline + deadlineGrace);
		}
	}

	return latest;
}

function evidenceByRequest({segments, distrusted}: CheckedChains, range: AuditRange): Map<string, RecordEvidence[]> {
	const evidence = segments.flatMap(({key, records}) => records
		.filter(record => record.kind !== 'gap')
		.filter(record => isInRange(record, range))
		.map(record => ({record, key, trusted: !distrusted.has(key)})));
	return groupBy(evidence, ({record}) => record.promise.requestId);
}

function isInRange({promise}: RequestRecord, {from, to, customer}: AuditRange): boolean {
	return promise.admittedAt >= from && promise.admittedAt < to && (customer === undefined || promise.customer === customer);
}

function auditedPromise(evidence: readonly RecordEvidence[]): AuditedPromise {
	const {promise} = evidence[0]!.record;
	const ended = evidence.map(({record}) => record).find(record => record.kind === 'ended');
	return {
		...judge(evidence, Date.now()),
		requestId: promise.requestId,
		customer: promise.customer,
		requestClass: promise.requestClass,
		admittedAt: promise.admittedAt,
		deadline: promise.deadline,
		endedAt: ended?.ending.endedAt,
		code: ended?.ending.code,
		segments: [...new Set(evidence.map(({key}) => key))],
	};
}
