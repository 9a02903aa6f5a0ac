/**
 * Writes lines to a file descriptor without ever blocking its caller.
 *
 * Lines are buffered and written in batches, with one write in progress at a time. While the reader does not keep up,
 * lines are dropped and counted; ordinary lines, which report no failure, are dropped before lines that report one.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import fs from 'node:fs';
import process from 'node:process';

/** Time in milliseconds for which lines are buffered before a write. */
const flushDelay = 100;

/** Maximum number of bytes waiting to be written. */
const maximumPendingBytes = 262_144;

/** Fraction of the maximum above which only lines that report a failure are accepted. */
const ordinaryBufferShare = 0.75;

/** Lines per second above which only lines that report a failure are accepted; twice the rate of a busy instance. */
const lineRateLimit = 400;

/** Writes bytes and reports how many were written. */
export type ByteSink = (bytes: Uint8Array, done: (error: NodeJS.ErrnoException | undefined, written: number) => void) => void;

/** Returns a sink that writes to a file descriptor asynchronously. */
export function fileDescriptorSink(descriptor: number): ByteSink {
	return (bytes, done) => {
		fs.write(descriptor, bytes, 0, bytes.length, undefined, (error, written) => {
			done(error ?? undefined, written);
		});
	};
}

/** Makes a pipe or socket that is standard output non-blocking: a process cannot exit while one of its writes blocks. */
export function stopBlockingOnStandardOutput(): void {
	// The runtime makes them non-blocking when it opens its own stream, which this does. A reader that is gone ends nothing.
	process.stdout.on('error', () => undefined);
}

/** Returns a function that writes to a file descriptor at once. A pipe has to be non-blocking; what it does not take is lost. */
export function fileDescriptorWriter(descriptor: number): (bytes: Uint8Array) => void {
	return bytes => {
		try {
			for (let written = 0; written < bytes.length;) {
				written += fs.writeSync(descriptor, bytes, written);
			}
		} catch {
			// The reader is gone or does not keep up, and there is nowhere else to tell.
		}
	};
}

/** Buffers lines and writes them asynchronously in batches. */
export class LineWriter {
	readonly #sink: ByteSink;
	readonly #writeAtOnce: (bytes: Uint8Array) => void;
	#lines: string[] = [];
	#pendingBytes = 0;
	#unwrittenBatch: Uint8Array | undefined;
	#unwrittenLineCount = 0;
	#timer: NodeJS.Timeout | undefined;
	#isWriting = false;
	#droppedLineCount = 0;
	#currentSecond = 0;
	#linesInCurrentSecond = 0;

	/** @param writeAtOnce - Writes bytes without waiting, as far as they are taken. */
	constructor(sink: ByteSink, writeAtOnce: (bytes: Uint8Array) => void = () => undefined) {
		this.#sink = sink;
		this.#writeAtOnce = writeAtOnce;
	}

	/** Number of lines dropped since the last `log.dropped` line was written. */
	get droppedLineCount(): number {
		return this.#droppedLineCount;
	}

	/** Queues a line, given without a line terminator. @param isFailure - Whether the line reports a failure, so that it is dropped last. */
	write(line: string, isFailure: boolean): void {
		if (!this.#canAccept(line, isFailure)) {
			this.#droppedLineCount += 1;
			return;
		}

		this.#lines.push(line);
		this.#pendingBytes += Buffer.byteLength(line) + 1;
		this.#scheduleWrite();
	}

	/** Writes all pending lines. Resolves when they are written or after `timeout` milliseconds. */
	async flush(timeout: number): Promise<void> {
		const deadline = Date.now() + timeout;
		while ((this.#lines.length > 0 || this.#isWriting || this.#unwrittenBatch !== undefined) && Date.now() < deadline) {
			this.#startWrite();
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop
				setTimeout(resolve, 5);
			});
		}
	}

	/**
	 * Writes what is pending and one last line at once, when the process ends. What a full pipe does not take is lost; a batch
	 * whose write is in progress is left to that.
	 */
	writeLast(line: string): void {
		const unwritten = this.#isWriting || this.#unwrittenBatch === undefined ? new Uint8Array(0) : this.#unwrittenBatch;
		const bytes = Buffer.concat([unwritten, Buffer.from(`${[...this.#lines, line].join('\n')}\n`)]);
		this.#unwrittenBatch = undefined;
		this.#lines = [];
		this.#writeAtOnce(bytes);
	}

	#canAccept(line: string, isFailure: boolean): boolean {
		const second = Math.floor(performance.now() / 1000);
		if (second !== this.#currentSecond) {
			this.#currentSecond = second;
			this.#linesInCurrentSecond = 0;
		}

		this.#linesInCurrentSecond += 1;
		const limit = isFailure ? maximumPendingBytes : maximumPendingBytes * ordinaryBufferShare;
		return this.#pendingBytes + Buffer.byteLength(line) < limit && (isFailure || this.#linesInCurrentSecond <= lineRateLimit);
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

			this.#unwrittenLineCount = this.#lines.length;
			if (this.#droppedLineCount > 0) {
				const line = `event=log.dropped lines=${this.#droppedLineCount}`;
				this.#lines.push(line);
				this.#pendingBytes += line.length + 1;
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
		const batch = this.#unwrittenBatch!;
		if (error && error.code !== 'EAGAIN') {
			// The failure cannot be reported anywhere but in the count, if a later write succeeds.
			this.#droppedLineCount += this.#unwrittenLineCount;
			this.#releaseBatch(batch.length);
		} else if (!error && written >= batch.length) {
			this.#releaseBatch(batch.length);
		} else if (!error) {
			this.#unwrittenBatch = batch.subarray(written);
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
