/**
 * A model engine in the same process, with the faults of one across a network. It needs no sockets and runs under
 * paused timers.
 *
 * @module
 */
import {CarobquayError, errorMessage} from '../errors/errors.js';
import {InlinePromptSummarizer, type PromptSummarizer} from '../stand-in/engine/engine-application.js';
import {EngineHost, type EngineHostOptions, toStreamRequest} from '../stand-in/engine/engine-host.js';
import {EngineRefusal} from '../stand-in/engine/engine-refusal.js';
import type {StreamReader} from '../stand-in/engine/hosted-stream.js';
import {StrayMessageReader} from '../stand-in/engine/stray-messages.js';
import {Faults} from '../stand-in/faults.js';
import type {
	CacheEventPage, CacheExport, EngineClient, EngineMessage, EngineCommand, GenerateRequest, LoadReport, Reservation, StreamSummary,
} from './engine.js';
import {type DroppedMessages, type ExpectedStream, StreamValidator} from './stream-validator.js';
import {MemoryTransport} from './memory-transport.js';

/** Settings of an engine in memory. */
export type MemoryEngineOptions = EngineHostOptions & {
	name: string;
	/**
	 * Time in milliseconds without any message after which a call counts as silent.
	 * @default 5000
	 */
	inactivityTimeout?: number;
	/**
	 * Faults to show.
	 * @default no faults
	 */
	faults?: Faults;
	/**
	 * Reader of prompts.
	 * @default one that works in the calling thread
	 */
	summarizer?: PromptSummarizer;
};

/** An engine in memory. */
export class MemoryEngine implements EngineClient {
	readonly name: string;
	readonly faults: Faults;
	readonly #options: MemoryEngineOptions;
	readonly #summarizer: PromptSummarizer;
	readonly #transport: MemoryTransport;
	readonly #droppedMessages: DroppedMessages = {misrouted: 0, duplicate: 0, malformed: 0};
	#host: EngineHost;

	constructor(options: MemoryEngineOptions) {
		const {name, faults = new Faults(), inactivityTimeout: silenceLimit = 5000, summarizer = new InlinePromptSummarizer()} = options;
		this.name = name;
		this.faults = faults;
		this.#options = options;
		this.#summarizer = summarizer;
		this.#transport = new MemoryTransport({
			name, faults, inactivityTimeout: silenceLimit, toError: error => toEngineError(name, error),
		});
		this.#host = this.#createHost();
	}

	/** The engine itself, for looking at it and for telling it to leave. */
	get host(): EngineHost {
		return this.#host;
	}

	/** Dies as a process does: all streams, memory and connections are lost, and new connections are refused. */
	kill(): void {
		this.#host.close();
		this.faults.apply({availability: 'refusing', cut: true});
	}

	/** Starts again as a new incarnation, with nothing of the old one. */
	restart(): void {
		this.#host.close();
		this.faults.apply({cut: true});
		this.#host = this.#createHost();
		this.faults.clear();
	}

	/** Messages that were not passed on, over all streams. */
	get droppedMessages(): Readonly<DroppedMessages> {
		return this.#droppedMessages;
	}

	async * generate({body, ...request}: GenerateRequest, signal: AbortSignal): AsyncGenerator<EngineMessage> {
		const {requestId, attempt} = request;
		yield * this.#readStream(async () => {
			const summary = await this.#summarizer.summarize(body);
			return this.#host.open(toStreamRequest({...request, body}, summary));
		}, {request: {requestId, attempt}, offset: 0}, signal);
	}

	async * resume(streamId: string, offset: number, signal: AbortSignal): AsyncGenerator<EngineMessage> {
		yield * this.#readStream(async () => this.#host.resume(streamId, offset), {streamId, offset}, signal);
	}

	async cancel(streamId: string, signal?: AbortSignal): Promise<void> {
		await this.#call(host => {
			host.cancel(streamId);
		}, signal);
	}

	async cancelRequest(requestId: string, attempt: number, signal?: AbortSignal): Promise<void> {
		await this.#call(host => {
			host.cancelRequest(requestId, attempt);
		}, signal);
	}

	async listStreams(signal?: AbortSignal): Promise<StreamSummary[]> {
		return this.#call(host => host.streams(), signal);
	}

	async fetchLoad(signal?: AbortSignal): Promise<LoadReport> {
		return this.#call(host => host.load(), signal);
	}

	async cacheEvents(after: number, signal?: AbortSignal): Promise<CacheEventPage> {
		return this.#call(host => host.reports.cacheEvents(after), signal);
	}

	async cacheSnapshot(signal?: AbortSignal): Promise<{incarnation: string; last: number; hashes: readonly string[]}> {
		return this.#call(host => host.reports.cacheSnapshot(), signal);
	}

	async reserve(request: Parameters<EngineClient['reserve']>[0], signal?: AbortSignal): Promise<Reservation> {
		return this.#call(host => host.reserve(request), signal);
	}

	async release(reservationId: string, signal?: AbortSignal): Promise<void> {
		await this.#call(host => {
			host.release(reservationId);
		}, signal);
	}

	async sendCommand(order: EngineCommand, signal?: AbortSignal): Promise<void> {
		await this.#call(async host => host.orders.take(order), signal);
	}

	async exportCache(hashes: readonly string[], _owner: string, lifetime: number, signal?: AbortSignal): Promise<CacheExport> {
		return this.#call(host => host.exportCache(hashes, lifetime), signal);
	}

	async importCache(cache: CacheExport, _owner: string, lifetime: number, signal?: AbortSignal): Promise<void> {
		await this.#call(host => {
			host.importCache(cache, lifetime);
		}, signal);
	}

	/** Stops the engine and its timers. */
	async close(): Promise<void> {
		this.#host.close();
		this.faults.clear();
	}

	async * #readStream(open: () => Promise<StreamReader>, expected: ExpectedStream, signal: AbortSignal): AsyncGenerator<EngineMessage> {
		const guard = new StreamValidator(this.name, expected, this.#droppedMessages);
		const messages = this.#transport.stream(async () => new StrayMessageReader(await open(), this.faults), isEnd, signal);
		for await (const message of messages) {
			if (guard.accepts(message)) {
				yield message;
			}
		}
	}

	#createHost(): EngineHost {
		return new EngineHost(this.#options, async () => this.faults.thawed());
	}

	async #call<Result>(work: (host: EngineHost) => Result | Promise<Result>, signal: AbortSignal | undefined): Promise<Result> {
		return this.#transport.call(async () => work(this.#host), {signal});
	}
}

function isEnd(message: EngineMessage): boolean {
	return message.kind === 'end';
}

/** The error that the HTTP client would throw for what the engine throws. */
function toEngineError(name: string, error: unknown): CarobquayError {
	const message = `engine "${name}" refused, ${errorMessage(error)}`;
	if (error instanceof EngineRefusal) {
		return new CarobquayError(error.reason === 'stale-fencing-number' ? '4006' : '4005', {message, cause: error});
	}

	return new CarobquayError(error instanceof CarobquayError ? '4005' : '4003', {message, cause: error});
}
