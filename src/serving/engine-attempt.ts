/**
 * One attempt of a request at one engine, whose response is validated and forwarded to the caller.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {ByteCollector} from '../memory/byte-collector.js';
import type {MemoryBudget, MemoryOwner, MemoryReservation} from '../memory/memory-budget.js';
import {InputFirstTimer} from '../upstream/input-first-timer.js';
import type {FailureEvidence} from '../upstream/engine-connector.js';
import type {CallerResponse} from './caller-response.js';
import type {EventOrder} from './event-order.js';
import {EventSplitter, type StreamEvent} from './event-splitter.js';
import {
	type ResponseHead, HttpExchange, type HttpExchangeOptions,
} from './http-exchange.js';
import type {ResponseHeaderValues, RequestProtocol} from './model.js';

/** Maximum size of a response that is buffered until it is complete. */
const maximumBufferedBytes = 16 * 1_048_576;

/** What the attempts hold counts as this part of the memory that the instance keeps for others. */
const memorySource = 'buffered-answers';

/** HTTP statuses by which a caller is told that its request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 429, 503]);

/** HTTP status that only an engine which did not execute the request returns, even without a header that states so. */
const misdirectedRequestStatus = 421;

/** How an attempt ended. */
export type AttemptOutcome
	/** The complete response was sent to the caller. */
	= | {kind: 'complete'; status: number}
		/** Nothing was sent. */
		| {kind: 'unreachable'; reason: string; evidence: FailureEvidence; isRefused: boolean}
		/** Another engine uses the address. */
		| {kind: 'misdirected'}
		/** The engine states that it did not execute the request. */
		| {kind: 'rejected'; status: number; faultyEngine: string | undefined}
		/** The engine executed the request and failed; `forwardResponse` sends its response to the caller and returns the status. */
		| {kind: 'failure'; status: number; forwardResponse: () => number}
		/**
		 * No complete and valid response was received; the request may have been executed. `isConnectionLost` says that the
		 * engine's side ended the connection.
		 */
		| {kind: 'broken'; reason: string; isConnectionLost: boolean};

/** Receives the events of an attempt. */
export interface EngineAttemptListener {
	/** Called each time a timeout in milliseconds passes without an event or complete response. The attempt continues. */
	onIdle(timeout: number): void;
	/** Called when the headers of a response of the engine itself were received, whatever its status. */
	onResponse(status: number, headerValues: ResponseHeaderValues): void;
	/** Called when the caller is about to receive the first part of an answer, from this attempt. */
	onAnswerStart(): void;
	/** Called when an event was forwarded. @param gap - Time in milliseconds since the previous event, or since the start. */
	onEvent(gap: number): void;
	/** Called once, when the attempt has ended. */
	onEnd(outcome: AttemptOutcome): void;
}

/** Options of an `EngineAttempt`. */
export type EngineAttemptOptions = {
	exchange: HttpExchangeOptions;
	protocol: RequestProtocol;
	requestId: string | undefined;
	callerResponse: CallerResponse;
	/** Events that the caller has, from this attempt and others. */
	order: EventOrder;
	/** Whether the route serves streams, whose events have an order and end with an empty line. Other answers are any bytes. */
	isStream: boolean;
	/** Time in milliseconds without a first event or complete response after which the engine counts as idle. */
	firstEventTimeout: number;
	/** Time in milliseconds without a further event after which the engine counts as idle; read after each event. */
	eventGapTimeout: () => number;
	/** Bounds what this attempt and others hold of their responses. */
	memory: MemoryBudget;
	/** Owner of what this attempt holds. */
	owner: MemoryOwner;
	listener: EngineAttemptListener;
};

/** One attempt at one engine. The constructor sends the request. */
export class EngineAttempt {
	/** Whether the attempt continues an answer of which the caller has a part. */
	readonly isContinuation: boolean;
	readonly #options: EngineAttemptOptions;
	readonly #exchange: HttpExchange;
	readonly #splitter = new EventSplitter();
	readonly #idleTimer = new InputFirstTimer();
	#responseHead: ResponseHead | undefined;
	#headerValues: ResponseHeaderValues | undefined;
	readonly #body = new ByteCollector();
	/** Events that were received together and are forwarded together, as the engine may send many of a few bytes each. */
	#outgoing: Uint8Array[] = [];
	#reservation: MemoryReservation | undefined;
	#isEventStream = false;
	#hasForwardedEvent = false;
	#lastEventAt = performance.now();
	#isEnded = false;

	constructor(options: EngineAttemptOptions) {
		this.#options = options;
		this.isContinuation = options.order.lastId !== undefined;
		this.#restartIdleTimer(() => options.firstEventTimeout);
		this.#exchange = new HttpExchange(options.exchange, {
			onHead: head => {
				this.#onHead(head);
			},
			onData: bytes => {
				this.#onData(bytes);
			},
			onEnd: () => {
				this.#onResponseEnd();
			},
			onUnreachable: (reason, evidence, isRefused) => {
				this.#finish({
					kind: 'unreachable', reason, evidence, isRefused,
				});
			},
			onBroken: reason => {
				this.#finish({kind: 'broken', reason, isConnectionLost: true});
			},
		});
	}

	/** Whether the connection was established, so that bytes may have reached the engine. */
	get hasConnected(): boolean {
		return this.#exchange.hasConnected;
	}

	/** IP address of the instance that relays the attempt; undefined for a direct connection. */
	get relay(): string | undefined {
		return this.#exchange.relay;
	}

	/** Ends the attempt. The engine cancels the request when its connection closes. */
	abort(): void {
		this.#finish({kind: 'broken', reason: 'aborted by this instance', isConnectionLost: false});
	}

	/** Reserves memory for what is held of the response; the attempt ends where there is none. */
	#reserve(bytes: number): void {
		const {memory, owner} = this.#options;
		if (this.#isEnded || bytes === (this.#reservation?.bytes ?? 0)) {
			return;
		}

		const fail = () => {
			this.#finish({kind: 'broken', reason: `no memory for ${bytes} bytes of the response beside ${memory.usedBy(memorySource)} bytes of others`, isConnectionLost: false});
		};

		if (this.#reservation === undefined) {
			this.#reservation = memory.reserve({
				source: memorySource, owner, bytes, giveUp: () => {
					this.#finish({kind: 'broken', reason: `its ${this.#body.length + this.#splitter.pendingLength} bytes were the largest part of the responses held`, isConnectionLost: false});
				},
			});
			if (this.#reservation === undefined) {
				fail();
			} else if (this.#isEnded) {
				// What gave way for it has ended this attempt.
				this.#reservation.release();
			}
		} else if (!this.#reservation.resize(bytes)) {
			fail();
		}
	}

	/** Calls `onIdle` after each timeout until it is restarted or the attempt ends. */
	#restartIdleTimer(currentTimeout: () => number): void {
		this.#idleTimer.stop();
		const timeout = currentTimeout();
		if (Number.isFinite(timeout)) {
			this.#idleTimer.start(timeout, () => {
				this.#restartIdleTimer(currentTimeout);
				this.#options.listener.onIdle(timeout);
			});
		}
	}

	#onHead(head: ResponseHead): void {
		const headerValues = this.#options.protocol.parseResponseHeaders(head.headers);
		this.#responseHead = head;
		this.#headerValues = headerValues;
		// Engines return the id of the request; at the address of an engine that has left, another one may not know it.
		if (headerValues.requestId !== this.#options.requestId && (headerValues.requestId !== undefined || head.status !== misdirectedRequestStatus)) {
			this.#finish({
				kind: 'broken', isConnectionLost: false,
				reason: headerValues.requestId === undefined ? `response of status ${head.status} has no request id` : `response belongs to another request "${headerValues.requestId}"`,
			});
			return;
		}

		if (head.status !== misdirectedRequestStatus) {
			this.#options.listener.onResponse(head.status, headerValues);
		}

		const isSuccess = head.status >= 200 && head.status < 300;
		if (headerValues.hasContentEncoding || (isSuccess && !headerValues.isSigned)) {
			this.#finish({
				kind: 'broken', isConnectionLost: false,
				reason: headerValues.hasContentEncoding ? 'response has a content encoding that was not requested' : 'successful response without the engine\'s signature',
			});
			return;
		}

		this.#isEventStream = isSuccess && headerValues.isEventStream;
	}

	#onData(bytes: Uint8Array): void {
		if (!this.#isEventStream) {
			this.#body.append(bytes);
			this.#reserve(this.#body.length);
			if (this.#body.length > maximumBufferedBytes) {
				this.#finish({kind: 'broken', reason: `response exceeds ${maximumBufferedBytes} bytes`, isConnectionLost: false});
			}

			return;
		}

		try {
			const events = this.#splitter.push(bytes);
			this.#exchange.recordParts(events.length);
			for (const event of events) {
				if (!this.#acceptEvent(event)) {
					return;
				}
			}

			this.#reserve(this.#splitter.pendingLength);
		} catch (error) {
			this.#finish({kind: 'broken', reason: String(error), isConnectionLost: false});
		}
	}

	/** Begins to forward an event to the caller. @returns false if the attempt has ended. */
	#acceptEvent({bytes, id, isComment}: StreamEvent): boolean {
		if (this.#isEnded) {
			return false;
		}

		const {listener, eventGapTimeout, order, isStream} = this.#options;
		const defect = isComment || !isStream ? undefined : order.record(id, !this.#hasForwardedEvent);
		if (defect !== undefined) {
			this.#finish({kind: 'broken', reason: defect, isConnectionLost: false});
			return false;
		}

		this.#startAnswer();
		if (this.#outgoing.push(bytes) === 1) {
			// Runs when all that was received together has been handled.
			queueMicrotask(() => {
				this.#forwardEvents();
			});
		}

		if (isComment) {
			return true;
		}

		const now = performance.now();
		this.#hasForwardedEvent = true;
		listener.onEvent(now - this.#lastEventAt);
		this.#lastEventAt = now;
		this.#restartIdleTimer(eventGapTimeout);
		return true;
	}

	#startAnswer(): void {
		const {callerResponse, protocol, listener} = this.#options;
		if (!callerResponse.hasStarted) {
			callerResponse.writeHead(this.#responseHead!.status, protocol.buildResponseHeaders(this.#responseHead!.rawHeaders));
			listener.onAnswerStart();
		}
	}

	/** Sends the events that have been accepted. @returns false if the attempt has ended. */
	#forwardEvents(): boolean {
		const events = this.#outgoing;
		this.#outgoing = [];
		if (events.length > 0 && !this.#options.callerResponse.write(events.length === 1 ? events[0]! : Buffer.concat(events))) {
			this.#finish({kind: 'broken', reason: 'the caller does not read the response', isConnectionLost: false});
		}

		return !this.#isEnded;
	}

	#onResponseEnd(): void {
		if (this.#isEnded || !this.#responseHead || !this.#headerValues) {
			return;
		}

		const {status, rawHeaders} = this.#responseHead;
		if (this.#isEventStream) {
			this.#endStream(this.#responseHead);
			return;
		}

		const {callerResponse, protocol} = this.#options;
		const body = this.#body.take();
		const forwardResponse = () => {
			// From here on its bytes count as unread by the caller.
			this.#reservation?.release();
			callerResponse.send(status, protocol.buildResponseHeaders(rawHeaders), body);
			return status;
		};

		if (status === misdirectedRequestStatus) {
			this.#finish({kind: 'misdirected'});
		} else if (this.#headerValues.isNotExecuted) {
			this.#finish({kind: 'rejected', status, faultyEngine: this.#headerValues.faultyEngine});
		} else if (notRunStatuses.has(status)) {
			// Passed on, the status would tell the caller more than the engine has stated.
			this.#finish({kind: 'broken', reason: `status ${status} without the statement that the request has not run`, isConnectionLost: false});
		} else if (status >= 500 && !this.#headerValues.isSigned) {
			this.#finish({kind: 'broken', reason: `status ${status} without the engine's signature`, isConnectionLost: false});
		} else if (status >= 500 || callerResponse.hasStarted) {
			this.#finish({kind: 'failure', status, forwardResponse: callerResponse.hasStarted ? () => this.#destroyCallerResponse() : forwardResponse});
		} else {
			forwardResponse();
			this.#finish({kind: 'complete', status});
		}
	}

	/** Ends an event stream, which is complete if its last event is. Without any event, the close of its connection does not tell that none is left. */
	#endStream({status, isEndMarked}: ResponseHead): void {
		const {callerResponse, isStream} = this.#options;
		if (!isStream && isEndMarked) {
			this.#startAnswer();
			this.#outgoing.push(this.#splitter.takePending());
		}

		if (!this.#forwardEvents()) {
			return;
		}

		if (this.#splitter.pendingLength > 0 || !callerResponse.hasStarted || !(isEndMarked || this.#hasForwardedEvent)) {
			this.#finish({kind: 'broken', reason: 'event stream ended without a complete last event', isConnectionLost: true});
			return;
		}

		callerResponse.end();
		this.#finish({kind: 'complete', status});
	}

	#destroyCallerResponse(): number {
		this.#options.callerResponse.destroy();
		return 0;
	}

	#finish(outcome: AttemptOutcome): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#idleTimer.stop();
		this.#exchange.abort();
		this.#forwardEvents();
		this.#body.clear();
		this.#reservation?.release();
		this.#options.listener.onEnd(outcome);
	}
}
