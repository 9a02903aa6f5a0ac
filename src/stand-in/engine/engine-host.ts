/**
 * Runs a modelled engine in real time: streams with readers, deadlines and orphan lifetimes, reports and orders.
 *
 * The HTTP stand-in and the in-memory twin are thin layers over it.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {ulid} from 'ulid';
import {type PromptSummary, prefixChunkBytes} from '../../request/prompt.js';
import type {
	CacheExport, EndReason, GenerateRequest, LoadReport, Reservation, StreamSummary,
} from '../../upstream/engine.js';
import {answerHash} from './answer.js';
import {exportBytes, isWholeExport} from './cache-export.js';
import {EngineModel} from './engine-model.js';
import {EngineOrders, type OrderOptions} from './engine-orders.js';
import type {EngineParameters} from './engine-parameters.js';
import {EngineRefusal} from './engine-refusal.js';
import {EngineReports, type ReportOptions} from './engine-reports.js';
import {HostedStream, StreamReader} from './hosted-stream.js';
import type {Admission} from './memory-holds.js';
import {type ModelStream, type StepResult, streamUsage} from './model-stream.js';
import {TimerSet} from './timer-set.js';

/** UTF-8 bytes of prompt text in one token. */
const bytesPerToken = 4;

/** Prompt tokens that one prefix hash covers. */
const tokensPerPrefixHash = prefixChunkBytes / bytesPerToken;

/** Cancelled requests remembered, so that one that arrives after its cancellation does not run. */
const keptCancellations = 1000;

/** Settings of a hosted engine. */
export type EngineHostOptions = OrderOptions & ReportOptions & {
	/**
	 * What differs from the default model.
	 * @default {}
	 */
	parameters?: Partial<EngineParameters>;
	/**
	 * Factor on the duration of every step.
	 * @default 1
	 */
	timeScale?: number;
	/**
	 * Greatest number of answer tokens, whatever a request asks for.
	 * @default 1024
	 */
	maximumAnswerTokens?: number;
	/**
	 * Greatest number of waiting streams.
	 * @default 1024
	 */
	maximumWaiting?: number;
	/**
	 * Time in milliseconds without another message after which a reader gets a heartbeat.
	 * @default 1000
	 */
	heartbeatInterval?: number;
	/**
	 * Name that differs after each restart.
	 * @default a new ULID
	 */
	incarnation?: string;
};

/** What a prompt needs besides its body. */
export type StreamRequest = Omit<GenerateRequest, 'body'> & {answerHash: string; summary: PromptSummary};

/** A running engine. Methods that refuse throw EngineRefusal. */
export class EngineHost {
	readonly incarnation: string;
	readonly model: EngineModel;
	readonly orders: EngineOrders;
	readonly reports: EngineReports;
	/** Whether the engine reports that it is about to leave; it still takes work. */
	leaving = false;
	/** Streams taken while leaving. */
	acceptedWhileLeaving = 0;
	readonly #options: Required<Pick<EngineHostOptions, 'timeScale' | 'maximumAnswerTokens' | 'maximumWaiting' | 'heartbeatInterval'>>;
	readonly #streams = new Map<string, HostedStream>();
	readonly #cancelled = new Set<string>();
	readonly #timers = new TimerSet();
	readonly #thawed: () => Promise<void>;
	#loadSequence = 0;
	#created = 0;
	#stepping = false;
	/** Monotonic time in milliseconds at which the present step ends. */
	#stepEndsAt = 0;
	#closed = false;

	/** @param thawed - Resolves once the engine is not frozen; it does no work before. */
	constructor(options: EngineHostOptions = {}, thawed: () => Promise<void> = async () => undefined) {
		const {timeScale = 1, maximumAnswerTokens = 1024, maximumWaiting = 1024, heartbeatInterval = 1000} = options;
		this.#options = {
			timeScale, maximumAnswerTokens, maximumWaiting, heartbeatInterval,
		};
		this.incarnation = options.incarnation ?? ulid();
		this.model = new EngineModel(options.parameters);
		this.orders = new EngineOrders(options);
		this.reports = new EngineReports(this.model, this.incarnation, options);
		this.#thawed = thawed;
	}

	/** Starts a stream and reads it. */
	open(request: StreamRequest): StreamReader {
		const {summary, requestId, attempt, owner, priority, timeRemaining: deadline, orphanLifetime, reservationId} = request;
		this.#checkNew(request);
		const streamId = `${this.incarnation}-${++this.#created}`;
		admit(this.model.submit({
			streamId,
			requestId,
			attempt,
			owner,
			priority,
			promptTokens: Math.max(1, Math.ceil(summary.promptBytes / bytesPerToken)),
			answerTokens: Math.min(summary.maximumAnswerTokens, this.#options.maximumAnswerTokens),
			prefixHashes: summary.prefixHashes,
			tokensPerPrefixHash,
			reservationId,
		}), 'prompt');
		this.acceptedWhileLeaving += this.leaving ? 1 : 0;
		const stream = new HostedStream({
			streamId, requestId, attempt, owner, orphanLifetime, answerHash: request.answerHash,
		});
		this.#streams.set(streamId, stream);
		this.#timers.schedule(`deadline ${streamId}`, deadline, () => {
			this.#interrupt(stream, 'deadline');
		});
		this.#changed();
		return this.#read(stream, 0);
	}

	/** Reads a stream from an offset. */
	resume(streamId: string, offset: number): StreamReader {
		const stream = this.#streams.get(streamId);
		if (!stream) {
			throw new EngineRefusal('unknown-stream', `stream "${streamId}" does not exist`);
		}

		if (offset > stream.produced) {
			throw new EngineRefusal('unknown-offset', `stream "${streamId}" has ${stream.produced} tokens, not ${offset}`);
		}

		return this.#read(stream, offset);
	}

	/** Cancels a stream; one that is gone is no error. */
	cancel(streamId: string): void {
		const stream = this.#streams.get(streamId);
		if (stream) {
			this.#interrupt(stream, 'cancelled');
		}
	}

	/** Cancels the streams of an attempt, also those that arrive later. */
	cancelRequest(requestId: string, attempt: number): void {
		this.#cancelled.add(attemptKey(requestId, attempt));
		if (this.#cancelled.size > keptCancellations) {
			const [oldest] = this.#cancelled;
			this.#cancelled.delete(oldest!);
		}

		for (const stream of this.#streams.values()) {
			if (stream.identity.requestId === requestId && stream.identity.attempt === attempt) {
				this.#interrupt(stream, 'cancelled');
			}
		}
	}

	/** Streams that have not ended. */
	streams(): StreamSummary[] {
		return [...this.#streams.values()]
			.filter(stream => stream.end === undefined)
			.map(stream => stream.summary(heldBlocks(this.model.stream(stream.identity.streamId))));
	}

	load(): LoadReport {
		return {
			sequence: ++this.#loadSequence,
			incarnation: this.incarnation,
			...this.reports.load(),
			models: this.orders.models,
			role: this.orders.role,
			leaving: this.leaving,
		};
	}

	/** Sets memory aside for a lifetime in milliseconds. */
	reserve({owner, promptTokens, answerTokens, lifetime}: {requestId: string; owner: string; promptTokens: number; answerTokens: number; lifetime: number}): Reservation {
		const reservationId = `${owner}-${ulid()}`;
		// The model has done the present step's work already; its time is still running.
		const restOfStep = Math.max(0, this.#stepEndsAt - performance.now());
		const expectedWait = restOfStep + (this.model.expectedWait() * this.#options.timeScale);
		const expiresAt = performance.now() + lifetime;
		admit(this.model.reserve({
			reservationId, promptTokens, answerTokens, expiresAt,
		}), 'reservation');
		this.#expireAt(expiresAt, reservationId);
		return {reservationId, expectedWait};
	}

	release(reservationId: string): void {
		this.model.release(reservationId);
		this.#changed();
	}

	/** Takes cached prefixes out; they stay cached for a lifetime in milliseconds. */
	exportCache(hashes: readonly string[], lifetime: number): CacheExport {
		const exportId = ulid();
		const expiresAt = performance.now() + lifetime;
		const held = this.model.holdForExport(exportId, hashes, expiresAt);
		this.#expireAt(expiresAt, exportId);
		return {exportId, hashes: held, bytes: exportBytes(held)};
	}

	/** Fills the cache; the prefixes stay cached for a lifetime in milliseconds. */
	importCache({exportId, hashes, bytes}: CacheExport, lifetime: number): void {
		if (!isWholeExport(hashes, bytes)) {
			throw new EngineRefusal('damaged-cache', `export "${exportId}" of ${hashes.length} hashes has ${bytes.length} bytes that do not match`);
		}

		const blocksPerHash = Math.floor(tokensPerPrefixHash / this.model.parameters.blockTokens);
		const holdId = `import ${ulid()}`;
		const expiresAt = performance.now() + lifetime;
		admit(this.model.importCache(holdId, {hashes, blocksPerHash, expiresAt}), 'import');
		this.#expireAt(expiresAt, holdId);
	}

	/** Forgets all cached prefixes. */
	clearCache(): void {
		this.model.clearCache();
		this.#changed();
	}

	/** Stops at once, as a process that dies; readers end without an end message. */
	close(): void {
		this.#closed = true;
		this.#timers.close();
		for (const stream of this.#streams.values()) {
			stream.closeReader();
		}
	}

	#checkNew({summary, requestId, attempt}: StreamRequest): void {
		if (!this.orders.serves(summary.model)) {
			throw new EngineRefusal('unknown-model', `model "${summary.model}" is not loaded`);
		}

		if (this.#cancelled.has(attemptKey(requestId, attempt))) {
			throw new EngineRefusal('cancelled-before', `attempt ${attempt} of request "${requestId}" was cancelled before it arrived`);
		}

		if (this.model.load().waiting >= this.#options.maximumWaiting) {
			throw new EngineRefusal('queue-full', `${this.#options.maximumWaiting} streams wait already`);
		}
	}

	#read(stream: HostedStream, offset: number): StreamReader {
		const {streamId, orphanLifetime} = stream.identity;
		const reader = new StreamReader(stream, {
			offset,
			heartbeatInterval: this.#options.heartbeatInterval,
			onClose: closed => {
				if (stream.detach(closed) && !stream.end) {
					this.#timers.schedule(`orphan ${streamId}`, orphanLifetime, () => {
						this.#interrupt(stream, 'cancelled');
					});
				}
			},
		});
		stream.attach(reader);
		this.#timers.cancel(`orphan ${streamId}`);
		return reader;
	}

	/** Ends a stream before its time. */
	#interrupt(stream: HostedStream, reason: EndReason): void {
		const modelStream = this.model.stream(stream.identity.streamId);
		if (modelStream) {
			this.model.cancel(stream.identity.streamId);
			this.#finish(stream, modelStream, reason);
			this.#changed();
		}
	}

	#finish(stream: HostedStream, modelStream: ModelStream, reason: EndReason): void {
		const {streamId, orphanLifetime} = stream.identity;
		stream.finish({reason, usage: {...streamUsage(modelStream), answerTokens: stream.produced}});
		this.#timers.cancel(`deadline ${streamId}`);
		this.#timers.cancel(`orphan ${streamId}`);
		// A reader whose connection went silent can still fetch the rest.
		this.#timers.schedule(`forget ${streamId}`, orphanLifetime, () => {
			this.#streams.delete(streamId);
		});
	}

	/** Notes a change of the model and sees that it runs. */
	#changed(): void {
		this.reports.record();
		if (!this.#stepping && !this.#closed) {
			this.#stepping = true;
			void this.#run();
		}
	}

	async #run(): Promise<void> {
		for (;;) {
			await this.#thawed(); // eslint-disable-line no-await-in-loop
			const result = this.#closed ? undefined : this.model.step();
			this.reports.record();
			if (!result) {
				this.#stepping = false;
				return;
			}

			const duration = result.duration * this.#options.timeScale;
			this.#stepEndsAt = performance.now() + duration;
			await pause(duration); // eslint-disable-line no-await-in-loop
			this.#publish(result);
		}
	}

	#publish({produced, finished}: StepResult): void {
		for (const modelStream of produced) {
			const stream = this.#streams.get(modelStream.request.streamId);
			if (stream && !stream.end) {
				stream.publish(modelStream.produced);
			}
		}

		for (const modelStream of finished) {
			const stream = this.#streams.get(modelStream.request.streamId);
			if (stream && !stream.end) {
				const capped = modelStream.request.answerTokens >= this.#options.maximumAnswerTokens;
				this.#finish(stream, modelStream, capped ? 'stop' : 'length');
			}
		}
	}

	/** Frees what expires at a time; a timer may fire a little before the clock shows that time. */
	#expireAt(expiresAt: number, id: string): void {
		this.#timers.schedule(`expire ${id}`, expiresAt - performance.now(), () => {
			this.model.expire(expiresAt);
			this.#changed();
		});
		this.#changed();
	}
}

/** A request as the host takes it, from its body and summary. */
export function toStreamRequest({body, ...request}: GenerateRequest, summary: PromptSummary): StreamRequest {
	return {...request, summary, answerHash: answerHash(body)};
}

function admit(admission: Admission, what: string): void {
	if (admission === 'never-fits') {
		throw new EngineRefusal('never-fits', `${what} is larger than the engine's memory`);
	}

	if (admission === 'no-memory') {
		throw new EngineRefusal('no-memory', `${what} finds no memory now`);
	}
}

function attemptKey(requestId: string, attempt: number): string {
	return `${attempt} ${requestId}`;
}

function heldBlocks(stream: ModelStream | undefined): number {
	let blocks = stream?.ownBlocks ?? 0;
	for (const entry of stream?.entries ?? []) {
		blocks += entry.blocks;
	}

	return blocks;
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
