/**
 * Writes lines to a file descriptor without ever holding up its caller.
 *
 * Lines are gathered and written by one call at a time. While the reader does not take them, lines that tell of no
 * failure are dropped first and counted.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import fs from 'node:fs';

/** Time in milliseconds in which lines are gathered for one write. */
const gatherTime = 100;

/** Greatest number of bytes that wait to be written. */
const maximumPending = 262_144;

/** Share of these bytes from which only lines that tell of a failure are taken. */
const ordinaryShare = 0.75;

/** Lines a second, beyond which only lines that tell of a failure are taken; twice those of a busy instance. */
const linesPerSecond = 400;

/** Writes bytes and tells how many it took. */
export type ByteSink = (bytes: Uint8Array, done: (error: NodeJS.ErrnoException | undefined, written: number) => void) => void;

/** Writes to a file descriptor in the background. */
export function descriptorSink(descriptor: number): ByteSink {
	return (bytes, done) => {
		fs.write(descriptor, bytes, 0, bytes.length, undefined, (error, written) => {
			done(error ?? undefined, written);
		});
	};
}

/** Gathers lines and writes them in the background. */
export class LineWriter {
	readonly #sink: ByteSink;
	#lines: string[] = [];
	#pendingBytes = 0;
	#rest: Uint8Array | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isWriting = false;
	#dropped = 0;
	#second = 0;
	#linesInSecond = 0;

	constructor(sink: ByteSink) {
		this.#sink = sink;
	}

	/** Lines left out since the last count was written. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Takes a line without its line end. @param isFailure - Whether the line tells of a failure and is dropped last. */
	write(line: string, isFailure: boolean): void {
		if (!this.#hasRoom(line, isFailure)) {
			this.#dropped += 1;
			return;
		}

		this.#lines.push(line);
		this.#pendingBytes += line.length + 1;
		this.#plan();
	}

	/** Writes what waits and resolves when it is written or the time is over. */
	async flush(timeout: number): Promise<void> {
		const until = Date.now() + timeout;
		while ((this.#lines.length > 0 || this.#isWriting || this.#rest !== undefined) && Date.now() < until) {
			this.#start();
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop
				setTimeout(resolve, 5);
			});
		}
	}

	#hasRoom(line: string, isFailure: boolean): boolean {
		const second = Math.floor(performance.now() / 1000);
		if (second !== this.#second) {
			this.#second = second;
			this.#linesInSecond = 0;
		}

		this.#linesInSecond += 1;
		const limit = isFailure ? maximumPending : maximumPending * ordinaryShare;
		return this.#pendingBytes + line.length < limit && (isFailure || this.#linesInSecond <= linesPerSecond);
	}

	#plan(): void {
		if (this.#timer === undefined) {
			this.#timer = setTimeout(() => {
				this.#timer = undefined;
				this.#start();
			}, gatherTime);
		}
	}

	#start(): void {
		if (this.#isWriting) {
			return;
		}

		if (!this.#rest) {
			if (this.#lines.length === 0) {
				return;
			}

			if (this.#dropped > 0) {
				this.#lines.push(`event=log.dropped lines=${this.#dropped}`);
				this.#dropped = 0;
			}

			this.#rest = Buffer.from(`${this.#lines.join('\n')}\n`);
			this.#lines = [];
		}

		this.#isWriting = true;
		this.#sink(this.#rest, (error, written) => {
			this.#written(error, written);
		});
	}

	#written(error: NodeJS.ErrnoException | undefined, written: number): void {
		this.#isWriting = false;
		const rest = this.#rest!;
		if (error && error.code !== 'EAGAIN') {
			// Nobody reads any more; there is nowhere to report it.
			this.#dropped += 1;
			this.#clear(rest.length);
			return;
		}

		if (!error && written >= rest.length) {
			this.#clear(rest.length);
		} else if (!error) {
			this.#rest = rest.subarray(written);
			this.#pendingBytes -= written;
		}

		if (this.#rest !== undefined || this.#lines.length > 0) {
			this.#plan();
		}
	}

	#clear(size: number): void {
		this.#rest = undefined;
		this.#pendingBytes = Math.max(0, this.#pendingBytes - size);
	}
}
