/**
 * Warns when this process nears one of its memory limits. At the limit itself nothing can be written: V8 aborts the process,
 * or the platform kills it.
 *
 * @module
 */
import v8 from 'node:v8';
import type {MemoryBudget} from '../memory/memory-budget.js';
import {residentBytes} from '../memory/process-memory.js';
import type {EventLog} from '../telemetry/log.js';
import {largestSources} from './end-report.js';

/** Time in milliseconds between two checks, and between two warnings while memory stays high. */
const checkInterval = 1000;
const warningInterval = 10_000;

/** Share of a limit from which on memory is high. */
const highShare = 0.85;

/** What the process uses and may use, in bytes. */
export type MemoryUse = {
	heap: number;
	heapLimit: number;
	/** Undefined where it cannot be read. */
	resident: number | undefined;
	/** Undefined where the platform sets no limit. */
	residentLimit: number | undefined;
};

/** Options of a `MemoryWarning`. */
export type MemoryWarningOptions = {
	log: EventLog;
	memory: MemoryBudget;
	/** Memory that the platform allows, in bytes; undefined where none is known. */
	memoryLimit: number | undefined;
	/**
	 * Measures the process.
	 * @default its heap and its resident memory
	 */
	measure?: () => MemoryUse;
};

/** Checks the memory of this process once a second. */
export class MemoryWarning {
	readonly #options: MemoryWarningOptions;
	readonly #measure: () => MemoryUse;
	readonly #timer: NodeJS.Timeout;
	#lastWarningAt = Number.NEGATIVE_INFINITY;

	constructor(options: MemoryWarningOptions) {
		this.#options = options;
		this.#measure = options.measure ?? (() => measureProcess(options.memoryLimit));
		this.#timer = setInterval(() => {
			this.#check();
		}, checkInterval);
		this.#timer.unref();
	}

	close(): void {
		clearInterval(this.#timer);
	}

	#check(): void {
		const {log, memory} = this.#options;
		const {heap, heapLimit, resident, residentLimit} = this.#measure();
		const isHigh = heap > heapLimit * highShare || (residentLimit !== undefined && resident !== undefined && resident > residentLimit * highShare);
		if (isHigh && performance.now() - this.#lastWarningAt >= warningInterval) {
			this.#lastWarningAt = performance.now();
			log.warn('memory.high', {
				heap, heap_limit: heapLimit, resident, memory_limit: residentLimit, kept: memory.total, ceiling: memory.ceiling, largest: largestSources(memory),
			});
		}
	}
}

function measureProcess(residentLimit: number | undefined): MemoryUse {
	const {used_heap_size: heap, heap_size_limit: heapLimit} = v8.getHeapStatistics();
	return {
		heap, heapLimit, resident: residentBytes(), residentLimit,
	};
}
