/**
 * The last line of a process, which tells why it ended and what it kept in memory.
 *
 * Nothing of this runs where the kernel or the runtime ends the process: SIGKILL, a signal with its default action, or a
 * heap that has reached its limit.
 *
 * @module
 */
import process from 'node:process';
import v8 from 'node:v8';
import {errorMessage} from '../errors/errors.js';
import {type MemoryBudget, memorySources} from '../memory/memory-budget.js';
import {residentBytes} from '../memory/process-memory.js';
import type {LineWriter} from '../telemetry/line-writer.js';
import {EventLog, type LogFields} from '../telemetry/log.js';

/** Why a process ends. `exit`: nothing was left to do, or the code below names the cause. */
export type EndReason = 'exit' | 'signal' | 'failed-start' | 'uncaught-exception';

/** Most sources that the line names. */
const namedSources = 3;

/** Writes the last line of this process. */
export class EndReport {
	readonly #log: EventLog;
	#reason: EndReason = 'exit';
	#cause: LogFields = {};
	#memory: MemoryBudget | undefined;

	/** @param commonFields - Fields of the line beside those of the end. */
	constructor(writer: Pick<LineWriter, 'writeLast'>, commonFields: LogFields = {}) {
		this.#log = new EventLog({
			commonFields, write(line) {
				writer.writeLast(line);
			},
		});
	}

	/** Reports the end of this process from now on. The runtime ends it as it would without. */
	install(): void {
		process.on('uncaughtExceptionMonitor', (error, origin) => {
			this.record('uncaught-exception', {origin, error: errorMessage(error)});
		});
		process.on('exit', code => {
			this.write(code);
		});
	}

	/** Sets the reason; the last one counts. */
	record(reason: EndReason, cause: LogFields): void {
		this.#reason = reason;
		this.#cause = cause;
	}

	/** Names the largest users of a budget in the line. */
	watchMemory(memory: MemoryBudget): void {
		this.#memory = memory;
	}

	write(code: number): void {
		this.#log.info('instance.ended', {
			reason: this.#reason, ...this.#cause, code, uptime_ms: Math.round(performance.now()), heap: v8.getHeapStatistics().used_heap_size, resident: residentBytes(),
			kept: this.#memory?.total, largest: this.#memory && largestSources(this.#memory),
		});
	}
}

/** Sources that use most of a budget, as "source:bytes,source:bytes"; undefined if none uses any. */
export function largestSources(memory: Pick<MemoryBudget, 'usedBy'>): string | undefined {
	const used = memorySources.map(source => ({source, bytes: memory.usedBy(source)})).filter(({bytes}) => bytes > 0)
		.toSorted((one, other) => other.bytes - one.bytes).slice(0, namedSources);
	return used.length === 0 ? undefined : used.map(({source, bytes}) => `${source}:${bytes}`).join(',');
}
