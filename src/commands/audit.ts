/**
 * `carobquay audit`: tells from the ledger which promises were kept.
 *
 * @module
 */
import process from 'node:process';
import {CarobquayError} from '../errors/errors.js';
import {audit as auditLedger, type AuditedPromise, type AuditReport} from '../ledger/audit.js';
import {groupBy} from '../ledger/group-by.js';
import {HttpObjects} from '../platform/http/http-objects.js';
import {exitCodes} from './exit-codes.js';
import {print, printJson, printTable} from './output.js';

/** Options of the command. */
export type AuditOptions = {
	/** Times of admission, as ISO 8601; `to` is excluded. */
	from: string;
	to: string;
	customer?: string;
	/** Address of the object store, as "IP:port". */
	objects: string;
	json?: boolean;
};

/** Time limit in milliseconds of one call to the object store. */
const timeout = 30_000;

/** Prints the audit. The exit code tells of a broken promise or a chain that does not hold. */
export async function audit({from, to, customer, objects: address, json}: AuditOptions): Promise<void> {
	const objects = new HttpObjects({address, timeout});
	try {
		const report = await auditLedger(objects, {from: parseTime('--from', from), to: parseTime('--to', to), customer});
		if (json) {
			printJson(report);
		} else {
			printReport(report);
		}

		process.exitCode = isClean(report) ? exitCodes.success : exitCodes.failure;
	} finally {
		await objects.close();
	}
}

/** Whether no promise was broken and no chain shows a fault; an open chain is none. */
function isClean({broken, findings}: AuditReport): boolean {
	return broken === 0 && findings.every(({kind}) => kind === 'open');
}

function parseTime(option: string, text: string): number {
	const time = Date.parse(text);
	if (Number.isNaN(time)) {
		throw new CarobquayError('7002', {message: `${option} ${text}: expected a time such as 2026-03-01T00:00:00Z`});
	}

	return time;
}

function printReport(report: AuditReport): void {
	print(`promises made ${report.made}, kept ${report.kept}, broken ${report.broken}, unknown ${report.unknown}; ${report.segments} segments read`);
	for (const [reason, promises] of groupBy(report.promises, ({verdict, reason}) => `${verdict} ${reason}`)) {
		print(`  ${reason}: ${promises.length}`);
	}

	const notKept = report.promises.filter(({verdict}) => verdict !== 'kept');
	if (notKept.length > 0) {
		print('');
		printTable(['VERDICT', 'REASON', 'REQUEST', 'CUSTOMER', 'CLASS', 'DEADLINE', 'ENDED', 'CODE', 'SEGMENTS'], notKept.map(promise => row(promise)));
	}

	if (report.findings.length > 0) {
		print('');
		printTable(['FINDING', 'SEGMENT', 'DETAIL'], report.findings.map(({kind, key, detail}) => [kind, key, detail]));
	}
}

function row({
	verdict, reason, requestId, customer, requestClass, deadline, endedAt, code, segments,
}: AuditedPromise): string[] {
	return [
		verdict, reason, requestId, customer, requestClass, iso(deadline), endedAt === undefined ? '-' : iso(endedAt), code ?? '-', segments.join(','),
	];
}

function iso(time: number): string {
	return new Date(time).toISOString();
}
