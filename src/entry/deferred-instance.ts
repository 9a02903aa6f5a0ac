/**
 * Joins the deferred requests of an instance to its platform, its ledger and its metrics.
 *
 * @module
 */
import type {DeferredRunner} from '../deferred/deferred-run.js';
import {DeferredTask, type DeferredListener} from '../deferred/deferred-task.js';
import type {Deferred} from '../deferred/item.js';
import type {ObservedEnding, RequestObserver} from '../ledger/observer.js';
import {GroupCommit} from '../platform/group-commit.js';
import type {Platform} from '../platform/platform.js';
import {SettledWriter} from '../platform/settled-write.js';
import {BudgetedTable, TableBudget} from '../platform/table-budget.js';
import type {ResolvedSettings} from '../settings/schema.js';
import type {EventLog} from '../telemetry/log.js';
import type {RequestMetrics} from '../telemetry/request-metrics.js';
import {termsOf} from './deferred-runner.js';

/** Calls per second of the table that the deferred requests of one instance may make. */
const tableBudget = {writes: 20, reads: 100};

/** What the task of an instance is built from. */
export type DeferredParts = {
	platform: Platform;
	settings: ResolvedSettings['deferred'];
	runner: DeferredRunner;
	log: EventLog;
	/** Incarnation of the instance. */
	owner: string;
	observer: RequestObserver;
	metrics: RequestMetrics;
};

/** Builds the task; it is not started. */
export function openDeferred({
	platform, settings, runner, log, owner, observer, metrics,
}: DeferredParts): DeferredTask {
	const table = new BudgetedTable(platform.table, new TableBudget({purposes: {deferred: tableBudget}}), 'deferred');
	return new DeferredTask({
		table,
		objects: platform.objects,
		writer: new GroupCommit(new SettledWriter(table)),
		runner,
		log,
		owner,
		...settings,
		listener: listenerOf(observer, metrics),
	});
}

function listenerOf(observer: RequestObserver, metrics: RequestMetrics): DeferredListener {
	return {
		taken(request) {
			observer.admitted(termsOf(request), true, request.admittedAt);
		},
		ended(request) {
			const ending = endingOf(request);
			observer.ended(termsOf(request), ending);
			metrics.recordRequestEnd({
				customer: request.customer, requestClass: request.requestClass, code: ending.code ?? '0', duration: Date.now() - request.admittedAt,
			});
		},
		lost(request) {
			observer.left(termsOf(request));
		},
	};
}

function endingOf({ending, attempt}: Deferred): ObservedEnding {
	return ending?.outcome === 'failed'
		? {
			outcome: 'failed', code: ending.code, ran: ending.ran, attempts: attempt,
		}
		: {outcome: 'answered', ran: 'yes', attempts: attempt};
}
