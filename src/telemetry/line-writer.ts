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
const flushDelay = 100;

/** Greatest number of bytes that wait to be written. */
const maximumPendingBytes = 262_144;

/** Share of these bytes from which only lines that tell of a failure are taken. */
const ordinaryBufferShare = 0.75;

/** Lines a second, beyond which only lines that tell of a failure are taken; twice those of a busy instance. */
const lineRateLimit = 400;

/** Writes bytes and tells how many it took. */
export type ByteSink = (bytes: Uint8Array, done: (error: NodeJS.ErrnoException | undefined, written: number) => void) => void;

/** Writes to a file descriptor in the background. */
export function fileDescriptorSink(descriptor: number): ByteSink {
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
	#unwrittenBatch: Uint8Array | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isWriting = false;
	#droppedLineCount = 0;
	#currentSecond = 0;
	#linesInCurrentSecond = 0;

	constructor(sink: ByteSink) {
		this.#sink = sink;
	}

	/** Lines left out since the last count was written. */
	get droppedLineCount(): number {
		return this.#droppedLineCount;
	}

	/** Takes a line without its line end. @param isFailure - Whether the line tells of a failure and is dropped last. */
	write(line: string, isFailure: boolean): void {
		if (!this.#canAccept(line, isFailure)) {
			this.#droppedLineCount += 1;
			return;
		}

		this.#lines.push(line);
		this.#pendingBytes += line.length + 1;
		this.#scheduleWrite();
	}

	/** Writes what waits and resolves when it is written or the time is over. */
	async flush(timeout: number): Promise<void> {
		const until = Date.now() + timeout;
		while ((this.#lines.length > 0 || this.#isWriting || this.#unwrittenBatch !== undefined) && Date.now() < until) {
			this.#startWrite();
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop
				setTimeout(resolve, 5);
			});
		}
	}

	#canAccept(line: string, isFailure: boolean): boolean {
		const second = Math.floor(performance.now() / 1000);
		if (second !== this.#currentSecond) {
			this.#currentSecond = second;
			this.#linesInCurrentSecond = 0;
		}

		this.#linesInCurrentSecond += 1;
		const limit = isFailure ? maximumPendingBytes : maximumPendingBytes * ordinaryBufferShare;
		return this.#pendingBytes + line.length < limit && (isFailure || this.#linesInCurrentSecond <= lineRateLimit);
	}

	#scheduleWrite(): void {
		if (this.#timer === undefined) {
			this.#timer = setTimeout(() => {
				this.#timer = undefined;
				this.#startWrite();
			}, flushDelay);
		}
	}

	#startWrite(): void {
		if (this.#isWriting) {
			return;
		}

		if (!this.#unwrittenBatch) {
			if (this.#lines.length === 0) {
				return;
			}

			if (this.#droppedLineCount > 0) {
				this.#lines.push(`event=log.dropped lines=${this.#droppedLineCount}`);
				this.#droppedLineCount = 0;
			}

			this.#unwrittenBatch = Buffer.from(`${this.#lines.join('\n')}\n`);
			this.#lines = [];
		}

		this.#isWriting = true;
		this.#sink(this.#unwrittenBatch, (error, written) => {
			this.#onWritten(error, written);
		});
	}

	#onWritten(error: NodeJS.ErrnoException | undefined, written: number): void {
		this.#isWriting = false;
		const rest = this.#unwrittenBatch!;
		if (error && error.code !== 'EAGAIN') {
			// Nobody reads any more; there is nowhere to report it.
			this.#droppedLineCount += 1;
			this.#releaseBatch(rest.length);
			return;
		}

		if (!error && written >= rest.length) {
			this.#releaseBatch(rest.length);
		} else if (!error) {
			this.#unwrittenBatch = rest.subarray(written);
			this.#pendingBytes -= written;
		}

		if (this.#unwrittenBatch !== undefined || this.#lines.length > 0) {
			this.#scheduleWrite();
		}
	}

	#releaseBatch(size: number): void {
		this.#unwrittenBatch = undefined;
		this.#pendingBytes = Math.max(0, this.#pendingBytes - size);
	}
}
