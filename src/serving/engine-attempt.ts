/**
 * The answer of one engine to one attempt, passed on to the caller as far as it can be trusted.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import type {CallerResponse} from './caller-response.js';
import {EventSplitter, type StreamEvent} from './event-splitter.js';
import {
	type ResponseHead, HttpExchange, type HttpExchangeFailure, type HttpExchangeOptions,
} from './http-exchange.js';
import type {ResponseHeaderValues, RequestProtocol} from './model.js';

/** Time in milliseconds to connect to an engine: a few times the way across failure domains, and under a lost packet's repeat. */
const connectTimeout = 300;

/** Greatest size in bytes of an answer that is held until it is whole. */
const maximumBufferedBytes = 16 * 1_048_576;

/** Statuses that only an engine which did not run a request gives, beside its word for it. */
const misdirectedRequestStatus = 421;

/** How an attempt ended. */
export type AttemptOutcome
	/** The caller has the whole answer. */
	= | {kind: 'complete'; status: number}
		/** Nothing was sent. */
		| {kind: 'unreachable'; reason: string}
		/** Another engine is at the address. */
		| {kind: 'misdirected'}
		/** The engine states that it did not run the request. */
		| {kind: 'rejected'; status: number; faultyEngine: string | undefined}
		/** The engine ran the request and failed; `deliver` passes its answer on and returns its status. */
		| {kind: 'failure'; status: number; forwardResponse: () => number}
		/** No whole answer came; the request may have run. */
		| {kind: 'broken'; reason: string};

/** Told how an attempt goes. */
export interface EngineAttemptListener {
	/** The engine gave no sign for a time in milliseconds; told again after each such time, and the attempt goes on. */
	onIdle(limit: number): void;
	/** An event was passed on. @param gap - Time in milliseconds since the one before. */
	onEvent(id: number | undefined, gap: number): void;
	/** The attempt is over. */
	onEnd(outcome: AttemptOutcome): void;
}

/** What an attempt needs. */
export type EngineAttemptOptions = {
	exchange: Omit<HttpExchangeOptions, 'connectTimeout'>;
	protocol: RequestProtocol;
	requestId: string | undefined;
	callerResponse: CallerResponse;
	/** Number of the last event that the caller has. */
	lastEventId: number | undefined;
	/** Time in milliseconds without a first event or whole answer after which the engine counts as silent. */
	firstEventTimeout: number;
	/** The same after an event, asked at each one. */
	eventGapTimeout: () => number;
	listener: EngineAttemptListener;
};

/** One attempt at one engine. */
export class EngineAttempt {
	readonly #options: EngineAttemptOptions;
	readonly #exchange: HttpExchange;
	readonly #splitter = new EventSplitter();
	#idleTimer: NodeJS.Timeout | undefined;
	#responseHead: ResponseHead | undefined;
	#headerValues: ResponseHeaderValues | undefined;
	readonly #bufferedChunks: Uint8Array[] = [];
	#bufferedBytes = 0;
	#isEventStream = false;
	#lastEventId: number | undefined;
	#lastEventAt = performance.now();
	#isEnded = false;

	constructor(options: EngineAttemptOptions) {
		this.#options = options;
		this.#lastEventId = options.lastEventId;
		this.#restartIdleTimer(() => options.firstEventTimeout);
		this.#exchange = new HttpExchange({...options.exchange, connectTimeout}, {
			onHead: head => {
				this.#onHead(head);
			},
			onData: bytes => {
				this.#onData(bytes);
			},
			onEnd: () => {
				this.#onResponseEnd();
			},
			onFailure: (failure, reason) => {
				this.#onFailure(failure, reason);
			},
		});
	}

	/** Whether any byte may have reached the engine. */
	get hasConnected(): boolean {
		return this.#exchange.hasConnected;
	}

	/** Stops the attempt; the engine drops the request with its connection. */
	abort(): void {
		this.#finish({kind: 'broken', reason: 'given up by this instance'});
	}

	/** Tells when the engine gives no sign for a time, again and again. */
	#restartIdleTimer(limitNow: () => number): void {
		clearTimeout(this.#idleTimer);
		const limit = limitNow();
		if (Number.isFinite(limit)) {
			this.#idleTimer = setTimeout(() => {
				this.#restartIdleTimer(limitNow);
				this.#options.listener.onIdle(limit);
			}, limit);
		}
	}

	#onHead(head: ResponseHead): void {
		const facts = this.#options.protocol.parseResponseHeaders(head.headers);
		this.#responseHead = head;
		this.#headerValues = facts;
		if (facts.requestId !== undefined && facts.requestId !== this.#options.requestId) {
			this.#finish({kind: 'broken', reason: `answer to another request "${facts.requestId}"`});
			return;
		}

		const isSuccess = head.status >= 200 && head.status < 300;
		if (facts.hasContentEncoding || (isSuccess && !facts.isSigned)) {
			this.#finish({kind: 'broken', reason: facts.hasContentEncoding ? 'answer in an encoding that nobody asked for' : 'success without the engine\'s signature'});
			return;
		}

		this.#isEventStream = isSuccess && facts.isEventStream;
	}

	#onData(bytes: Uint8Array): void {
		if (!this.#isEventStream) {
			this.#bufferedChunks.push(bytes);
			this.#bufferedBytes += bytes.length;
			if (this.#bufferedBytes > maximumBufferedBytes) {
				this.#finish({kind: 'broken', reason: `answer of over ${maximumBufferedBytes} bytes`});
			}

			return;
		}

		try {
			for (const event of this.#splitter.push(bytes)) {
				if (!this.#forwardEvent(event)) {
					return;
				}
			}
		} catch (error) {
			this.#finish({kind: 'broken', reason: String(error)});
		}
	}

	/** Passes an event on. @returns false where the stream ended with it. */
	#forwardEvent({bytes, id}: StreamEvent): boolean {
		if (this.#isEnded) {
			return false;
		}

		if (id !== undefined && this.#lastEventId !== undefined && id !== this.#lastEventId + 1) {
			this.#finish({kind: 'broken', reason: `event ${id} follows event ${this.#lastEventId}`});
			return false;
		}

		const {callerResponse: answer, protocol, listener, eventGapTimeout: gapLimit} = this.#options;
		if (!answer.hasStarted) {
			answer.writeHead(this.#responseHead!.status, protocol.buildResponseHeaders(this.#responseHead!.rawHeaders));
		}

		if (!answer.write(bytes)) {
			this.#finish({kind: 'broken', reason: 'the caller does not read'});
			return false;
		}

		const now = performance.now();
		this.#lastEventId = id ?? this.#lastEventId;
		listener.onEvent(id, now - this.#lastEventAt);
		this.#lastEventAt = now;
		this.#restartIdleTimer(gapLimit);
		return true;
	}

	#onResponseEnd(): void {
		if (this.#isEnded || !this.#responseHead || !this.#headerValues) {
			return;
		}

		const {status, rawHeaders} = this.#responseHead;
		if (this.#isEventStream) {
			this.#endStream(status);
			return;
		}

		const {callerResponse: answer, protocol} = this.#options;
		const body = Buffer.concat(this.#bufferedChunks);
		const deliver = () => {
			answer.send(status, protocol.buildResponseHeaders(rawHeaders), body);
			return status;
		};

		if (status === misdirectedRequestStatus) {
			this.#finish({kind: 'misdirected'});
		} else if (this.#headerValues.isNotExecuted) {
			this.#finish({kind: 'rejected', status, faultyEngine: this.#headerValues.faultyEngine});
		} else if (status >= 500 && !this.#headerValues.isSigned) {
			this.#finish({kind: 'broken', reason: `status ${status} without the engine's signature`});
		} else if (status >= 500 || answer.hasStarted) {
			this.#finish({kind: 'failure', status, forwardResponse: answer.hasStarted ? () => this.#destroyCallerResponse() : deliver});
		} else {
			deliver();
			this.#finish({kind: 'complete', status});
		}
	}

	/** A stream is whole where its last event is. */
	#endStream(status: number): void {
		const {callerResponse: answer} = this.#options;
		if (this.#splitter.pending.length > 0 || !answer.hasStarted) {
			this.#finish({kind: 'broken', reason: 'stream ended in the middle of an event'});
			return;
		}

		answer.end();
		this.#finish({kind: 'complete', status});
	}

	#destroyCallerResponse(): number {
		this.#options.callerResponse.destroy();
		return 0;
	}

	#onFailure(failure: HttpExchangeFailure, reason: string): void {
		this.#finish(failure === 'unreachable' ? {kind: 'unreachable', reason} : {kind: 'broken', reason});
	}

	#finish(outcome: AttemptOutcome): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		clearTimeout(this.#idleTimer);
		this.#exchange.abort();
		this.#options.listener.onEnd(outcome);
	}
}
