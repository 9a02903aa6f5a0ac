/**
 * The answer of one engine to one attempt, passed on to the caller as far as it can be trusted.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import type {CallerAnswer} from './caller-answer.js';
import {EventSplitter, type StreamEvent} from './event-splitter.js';
import {
	type AnswerHead, Exchange, type ExchangeFailure, type ExchangeOptions,
} from './exchange.js';
import type {ResponseHeaderValues, RequestProtocol} from './model.js';

/** Time in milliseconds to connect to an engine: a few times the way across failure domains, and under a lost packet's repeat. */
const connectTimeout = 300;

/** Greatest size in bytes of an answer that is held until it is whole. */
const maximumHeld = 16 * 1_048_576;

/** Statuses that only an engine which did not run a request gives, beside its word for it. */
const misdirectedStatus = 421;

/** How an attempt ended. */
export type AnswerOutcome
	/** The caller has the whole answer. */
	= | {kind: 'complete'; status: number}
		/** Nothing was sent. */
		| {kind: 'unreachable'; reason: string}
		/** Another engine is at the address. */
		| {kind: 'misdirected'}
		/** The engine states that it did not run the request. */
		| {kind: 'rejected'; status: number; faultyEngine: string | undefined}
		/** The engine ran the request and failed; `deliver` passes its answer on and returns its status. */
		| {kind: 'failure'; status: number; deliver: () => number}
		/** No whole answer came; the request may have run. */
		| {kind: 'broken'; reason: string};

/** Told how an attempt goes. */
export interface EngineAnswerListener {
	/** The engine gave no sign for a time in milliseconds; told again after each such time, and the attempt goes on. */
	silent(limit: number): void;
	/** An event was passed on. @param gap - Time in milliseconds since the one before. */
	event(id: number | undefined, gap: number): void;
	/** The attempt is over. */
	ended(outcome: AnswerOutcome): void;
}

/** What an attempt needs. */
export type EngineAnswerOptions = {
	exchange: Omit<ExchangeOptions, 'connectTimeout'>;
	protocol: RequestProtocol;
	requestId: string | undefined;
	answer: CallerAnswer;
	/** Number of the last event that the caller has. */
	lastEvent: number | undefined;
	/** Time in milliseconds without a first event or whole answer after which the engine counts as silent. */
	firstLimit: number;
	/** The same after an event, asked at each one. */
	gapLimit: () => number;
	listener: EngineAnswerListener;
};

/** One attempt at one engine. */
export class EngineAnswer {
	readonly #options: EngineAnswerOptions;
	readonly #exchange: Exchange;
	readonly #splitter = new EventSplitter();
	#timer: NodeJS.Timeout | undefined;
	#head: AnswerHead | undefined;
	#facts: ResponseHeaderValues | undefined;
	readonly #held: Uint8Array[] = [];
	#heldSize = 0;
	#isStream = false;
	#lastEvent: number | undefined;
	#lastEventAt = performance.now();
	#isOver = false;

	constructor(options: EngineAnswerOptions) {
		this.#options = options;
		this.#lastEvent = options.lastEvent;
		this.#arm(() => options.firstLimit);
		this.#exchange = new Exchange({...options.exchange, connectTimeout}, {
			head: head => {
				this.#receiveHead(head);
			},
			data: bytes => {
				this.#receive(bytes);
			},
			ended: () => {
				this.#whole();
			},
			failed: (failure, reason) => {
				this.#failed(failure, reason);
			},
		});
	}

	/** Whether any byte may have reached the engine. */
	get maySend(): boolean {
		return this.#exchange.maySend;
	}

	/** Stops the attempt; the engine drops the request with its connection. */
	abort(): void {
		this.#end({kind: 'broken', reason: 'given up by this instance'});
	}

	/** Tells when the engine gives no sign for a time, again and again. */
	#arm(limitNow: () => number): void {
		clearTimeout(this.#timer);
		const limit = limitNow();
		if (Number.isFinite(limit)) {
			this.#timer = setTimeout(() => {
				this.#arm(limitNow);
				this.#options.listener.silent(limit);
			}, limit);
		}
	}

	#receiveHead(head: AnswerHead): void {
		const facts = this.#options.protocol.parseResponseHeaders(head.headers);
		this.#head = head;
		this.#facts = facts;
		if (facts.requestId !== undefined && facts.requestId !== this.#options.requestId) {
			this.#end({kind: 'broken', reason: `answer to another request "${facts.requestId}"`});
			return;
		}

		const isSuccess = head.status >= 200 && head.status < 300;
		if (facts.hasContentEncoding || (isSuccess && !facts.isSigned)) {
			this.#end({kind: 'broken', reason: facts.hasContentEncoding ? 'answer in an encoding that nobody asked for' : 'success without the engine\'s signature'});
			return;
		}

		this.#isStream = isSuccess && facts.isEventStream;
	}

	#receive(bytes: Uint8Array): void {
		if (!this.#isStream) {
			this.#held.push(bytes);
			this.#heldSize += bytes.length;
			if (this.#heldSize > maximumHeld) {
				this.#end({kind: 'broken', reason: `answer of over ${maximumHeld} bytes`});
			}

			return;
		}

		try {
			for (const event of this.#splitter.push(bytes)) {
				if (!this.#pass(event)) {
					return;
				}
			}
		} catch (error) {
			this.#end({kind: 'broken', reason: String(error)});
		}
	}

	/** Passes an event on. @returns false where the stream ended with it. */
	#pass({bytes, id}: StreamEvent): boolean {
		if (this.#isOver) {
			return false;
		}

		if (id !== undefined && this.#lastEvent !== undefined && id !== this.#lastEvent + 1) {
			this.#end({kind: 'broken', reason: `event ${id} follows event ${this.#lastEvent}`});
			return false;
		}

		const {answer, protocol, listener, gapLimit} = this.#options;
		if (!answer.hasBegun) {
			answer.begin(this.#head!.status, protocol.buildResponseHeaders(this.#head!.rawHeaders));
		}

		if (!answer.write(bytes)) {
			this.#end({kind: 'broken', reason: 'the caller does not read'});
			return false;
		}

		const now = performance.now();
		this.#lastEvent = id ?? this.#lastEvent;
		listener.event(id, now - this.#lastEventAt);
		this.#lastEventAt = now;
		this.#arm(gapLimit);
		return true;
	}

	#whole(): void {
		if (this.#isOver || !this.#head || !this.#facts) {
			return;
		}

		const {status, rawHeaders} = this.#head;
		if (this.#isStream) {
			this.#wholeStream(status);
			return;
		}

		const {answer, protocol} = this.#options;
		const body = Buffer.concat(this.#held);
		const deliver = () => {
			answer.complete(status, protocol.buildResponseHeaders(rawHeaders), body);
			return status;
		};

		if (status === misdirectedStatus) {
			this.#end({kind: 'misdirected'});
		} else if (this.#facts.isNotExecuted) {
			this.#end({kind: 'rejected', status, faultyEngine: this.#facts.faultyEngine});
		} else if (status >= 500 && !this.#facts.isSigned) {
			this.#end({kind: 'broken', reason: `status ${status} without the engine's signature`});
		} else if (status >= 500 || answer.hasBegun) {
			this.#end({kind: 'failure', status, deliver: answer.hasBegun ? () => this.#breakOff() : deliver});
		} else {
			deliver();
			this.#end({kind: 'complete', status});
		}
	}

	/** A stream is whole where its last event is. */
	#wholeStream(status: number): void {
		const {answer} = this.#options;
		if (this.#splitter.pending.length > 0 || !answer.hasBegun) {
			this.#end({kind: 'broken', reason: 'stream ended in the middle of an event'});
			return;
		}

		answer.end();
		this.#end({kind: 'complete', status});
	}

	#breakOff(): number {
		this.#options.answer.breakOff();
		return 0;
	}

	#failed(failure: ExchangeFailure, reason: string): void {
		this.#end(failure === 'unreachable' ? {kind: 'unreachable', reason} : {kind: 'broken', reason});
	}

	#end(outcome: AnswerOutcome): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		clearTimeout(this.#timer);
		this.#exchange.abort();
		this.#options.listener.ended(outcome);
	}
}
