/**
 * Resident memory of the processes of a run.
 *
 * @module
 */
import {readFileSync} from 'node:fs';

/** Interval in milliseconds between two readings. */
const readingInterval = 100;

/** Memory in megabytes that the platform allows a process. */
export const memoryLimit = 350;

const kilobytesPerMegabyte = 1024;

/** A process, as far as its memory is read; the id is undefined while none runs. */
export type WatchedProcess = {readonly name: string; readonly processId: number | undefined};

/** Greatest reading of one process, in megabytes, and when it was first over a limit; ages in milliseconds. */
export type MemoryPeak = {name: string; processId: number; megabytes: number; firstOverAt: number | undefined};

/** Reads while it runs. */
export class MemoryWatch {
	readonly #peaks = new Map<number, MemoryPeak>();
	readonly #limit: number;
	#timer: NodeJS.Timeout | undefined;

	/** @param limit - In megabytes. */
	constructor(limit: number) {
		this.#limit = limit;
	}

	get peaks(): readonly MemoryPeak[] {
		return [...this.#peaks.values()];
	}

	start(processes: readonly WatchedProcess[]): void {
		this.#timer = setInterval(() => {
			for (const {name, processId} of processes) {
				const megabytes = processId === undefined ? undefined : residentMegabytes(processId);
				if (processId !== undefined && megabytes !== undefined) {
					this.#record(name, processId, megabytes);
				}
			}
		}, readingInterval);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	#record(name: string, processId: number, megabytes: number): void {
		const before = this.#peaks.get(processId);
		this.#peaks.set(processId, {
			name, processId, megabytes: Math.max(megabytes, before?.megabytes ?? 0),
			firstOverAt: before?.firstOverAt ?? (megabytes > this.#limit ? performance.now() : undefined),
		});
	}
}

/** @returns undefined for a process that has ended. */
function residentMegabytes(processId: number): number | undefined {
	try {
		const kilobytes = /^VmRSS:\s+(\d+)/mv.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))?.[1];
		return kilobytes === undefined ? undefined : Number(kilobytes) / kilobytesPerMegabyte;
	} catch {
		return undefined;
	}
}
