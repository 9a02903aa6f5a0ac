/**
 * A ledger over the object store's twin, under a paused clock.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import fakeTimers, {type Clock} from '@sinonjs/fake-timers';
import type {ExecutionContext} from 'ava';
import {MemoryObjects} from '../../platform/memory/memory-objects.js';
import type {RequestMetadata} from '../../request/request-lifecycle.js';
import {EventLog} from '../../telemetry/log.js';
import {audit, type AuditReport} from '../audit.js';
import {LedgerTask, type LedgerTaskOptions} from '../ledger-task.js';
import type {ObservedEnding} from '../observer.js';

/** Wall-clock time in milliseconds at which tests begin: noon. */
const noon = Date.UTC(2026, 2, 1, 12);

export const answered: ObservedEnding = {outcome: 'answered', ran: 'yes', attempts: 1};

/** Pauses all clocks until the test ends. */
export function pauseClock(t: ExecutionContext): Clock {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'], now: noon});
	t.teardown(() => {
		clock.uninstall();
	});
	return clock;
}

export function terms(requestId: string): RequestMetadata {
	return {
		requestId, customer: 'advokaat', requestClass: 'question', deadlineAt: performance.now() + 60_000, nonIdempotent: false, idempotencyKey: undefined,
	};
}

/** Lines that ledgers have logged, and the store that they write to. */
export class LedgerBench {
	readonly objects = new MemoryObjects();
	readonly lines: string[] = [];
	readonly log = new EventLog({
		level: 'debug',
		write: line => {
			this.lines.push(line);
		},
	});

	/** Starts the ledger of an instance. */
	start(options: Partial<LedgerTaskOptions> = {}): LedgerTask {
		const ledger = new LedgerTask({
			instance: 'entry-1', incarnation: 'first', objects: this.objects, log: this.log, batchSize: 4, batchTime: 1000, buffer: 20, ...options,
		});
		ledger.start();
		return ledger;
	}

	/** How often an event was logged. */
	logged(event: string): number {
		return this.lines.filter(line => line.includes(`event=${event}`)).length;
	}

	async keys(): Promise<string[]> {
		return this.objects.list('ledger/');
	}

	/** Number of segments. */
	async count(): Promise<number> {
		const keys = await this.keys();
		return keys.length;
	}

	/** Kinds of what an audit finds wrong. */
	async findings(): Promise<string[]> {
		const {findings} = await this.audit();
		return findings.map(({kind}) => kind);
	}

	/** Audits everything around the time of the tests. */
	async audit(): Promise<AuditReport> {
		return audit(this.objects, {from: noon - 86_400_000, to: noon + (3 * 86_400_000)});
	}
}
