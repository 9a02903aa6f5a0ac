/**
 * Calls over HTTP to one service of the platform, each within a time limit.
 *
 * @module
 */
import {type Dispatcher, Pool} from 'undici';
import {z} from 'zod';
import {errorMessage} from '../../errors/errors.js';
import {InputFirstTimer} from '../../upstream/input-first-timer.js';
import {PlatformFailure} from '../failure.js';
import {resetAwareConnector} from './reset-aware-connector.js';

/** Time limit in milliseconds of a call. */
const defaultTimeout = 2000;

/** Number of connections to a service. */
const defaultConnections = 8;

/** Time in milliseconds that an idle connection is kept. */
const keepAliveTimeout = 4000;

/** HTTP statuses that the channel itself understands. */
const rateLimitedStatus = 429;
const unavailableStatus = 503;
const firstServerErrorStatus = 500;

const refusal = z.looseObject({done: z.literal(false)});

export type HttpChannelOptions = {
	/** As "IP:port". */
	address: string;
	/**
	 * Time limit in milliseconds of a call, the wait for a connection included.
	 * @default 2000
	 */
	timeout?: number;
	/**
	 * Greatest number of connections.
	 * @default 8
	 */
	connections?: number;
};

/** A call. */
export type HttpCall = {
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	/** Path with its query. */
	path: string;
	headers?: Record<string, string>;
	body?: string | Uint8Array;
	signal?: AbortSignal | undefined;
};

/** An answer, whole. */
export type HttpAnswer = {status: number; bytes: Uint8Array};

/**
 * Connections to one service.
 *
 * A call throws PlatformFailure: `unavailable` where no byte was sent or the service says that nothing was done,
 * `rate-limited` for status 429, `unknown` for anything else.
 */
export class HttpChannel {
	readonly #address: string;
	readonly #timeout: number;
	readonly #connections: number;
	#pool: Pool;

	constructor({address, timeout = defaultTimeout, connections = defaultConnections}: HttpChannelOptions) {
		this.#address = address;
		this.#timeout = timeout;
		this.#connections = connections;
		this.#pool = this.#openPool();
	}

	/** Makes a call and reads its answer. */
	async call(call: HttpCall): Promise<HttpAnswer> {
		const pool = this.#pool;
		const limit = new AbortController();
		const attempt = new Attempt(pool, call.signal ? AbortSignal.any([limit.signal, call.signal]) : limit.signal);
		const timer = new InputFirstTimer();
		timer.start(this.#timeout, () => {
			limit.abort(new Error(`no answer from ${this.#address} within ${this.#timeout} ms`));
		});
		try {
			return checkStatus(await attempt.send(call));
		} catch (error) {
			if (limit.signal.aborted) {
				this.#replace(pool);
			}

			throw attempt.failure(error);
		} finally {
			timer.stop();
		}
	}

	/** Closes all connections; calls under way fail. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	/**
	 * Leaves all connections of a pool on which a call got no answer.
	 *
	 * What made one connection silent has often silenced its neighbours, and each would cost a call its whole time.
	 */
	#replace(pool: Pool): void {
		if (pool !== this.#pool) {
			return;
		}

		this.#pool = this.#openPool();
		// Calls under way on the old connections keep their own time limits.
		void pool.close();
	}

	#openPool(): Pool {
		return new Pool(`http://${this.#address}`, {
			connections: this.#connections,
			pipelining: 1,
			keepAliveTimeout,
			connect: resetAwareConnector(this.#timeout),
			headersTimeout: this.#timeout,
			bodyTimeout: this.#timeout,
		});
	}
}

/** One call on its way; knows whether a connection has begun to send it. */
class Attempt {
	readonly #dispatcher: Dispatcher;
	readonly #signal: AbortSignal;
	#sent = false;

	constructor(pool: Pool, signal: AbortSignal) {
		this.#signal = signal;
		this.#dispatcher = pool.compose(dispatch => (options, handler) => dispatch(options, {
			...bindHandler(handler),
			onRequestStart: (controller, context) => {
				// A call that was given up in the queue is dropped here, before a byte is sent.
				this.#sent = !signal.aborted;
				handler.onRequestStart?.(controller, context);
			},
		}));
	}

	/** Sends the call; rejects at once when the signal aborts, also while the call waits for a connection. */
	async send(call: HttpCall): Promise<HttpAnswer> {
		return Promise.race([this.#request(call), aborted(this.#signal)]);
	}

	failure(error: unknown): PlatformFailure {
		if (error instanceof PlatformFailure) {
			return error;
		}

		return this.#sent
			? new PlatformFailure('unknown', `no whole answer: ${errorMessage(error)}`, error)
			: new PlatformFailure('unavailable', `not sent: ${errorMessage(error)}`, error);
	}

	async #request({
		method, path, headers, body,
	}: HttpCall): Promise<HttpAnswer> {
		const response = await this.#dispatcher.request({
			method, path, headers, body, signal: this.#signal,
		});
		return {status: response.statusCode, bytes: await response.body.bytes()};
	}
}

/** Rejects when a signal aborts; undici itself does not look at the signal of a queued request. */
async function aborted(signal: AbortSignal): Promise<never> {
	return new Promise((_resolve, reject) => {
		const abort = () => {
			reject(new Error(errorMessage(signal.reason)));
		};

		if (signal.aborted) {
			abort();
		} else {
			signal.addEventListener('abort', abort, {once: true});
		}
	});
}

function bindHandler(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
	return {
		onRequestUpgrade: handler.onRequestUpgrade?.bind(handler),
		onResponseStart: handler.onResponseStart?.bind(handler),
		onResponseData: handler.onResponseData?.bind(handler),
		onResponseEnd: handler.onResponseEnd?.bind(handler),
		onResponseError: handler.onResponseError?.bind(handler),
	};
}

function checkStatus(answer: HttpAnswer): HttpAnswer {
	if (answer.status === rateLimitedStatus) {
		throw new PlatformFailure('rate-limited', 'over the rate (status 429)');
	}

	if (answer.status < firstServerErrorStatus) {
		return answer;
	}

	// A 503 from anything between may have passed the call on; only the service itself can say that it was not done.
	const surelyNotDone = answer.status === unavailableStatus && refusal.safeParse(parseJson(answer.bytes)).success;
	throw new PlatformFailure(surelyNotDone ? 'unavailable' : 'unknown', `status ${answer.status}`);
}

/** Parses the JSON body of an answer and checks its form; an answer of another form proves nothing. */
export function parseAnswer<Schema extends z.ZodType>(schema: Schema, {status, bytes}: HttpAnswer): z.infer<Schema> {
	const result = schema.safeParse(parseJson(bytes));
	if (!result.success) {
		throw new PlatformFailure('unknown', `answer of unexpected form (status ${status}): ${z.prettifyError(result.error)}`);
	}

	return result.data;
}

/** Fails a call whose answer has a status that its adapter does not know. */
export function assertStatus({status}: HttpAnswer, expected: readonly number[]): void {
	if (!expected.includes(status)) {
		throw new PlatformFailure('unknown', `unexpected status ${status}`);
	}
}

function parseJson(bytes: Uint8Array): unknown {
	try {
		return JSON.parse(new TextDecoder().decode(bytes));
	} catch {
		return undefined;
	}
}
