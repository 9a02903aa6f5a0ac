/**
 * Shared part of the HTTP clients of engines and services: connection pools, inactivity timeouts and error mapping.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {type Dispatcher, Pool} from 'undici';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import {resetAwareConnector} from '../platform/http/reset-aware-connector.js';
import {isFinalStatus} from './final-status.js';
import {InputFirstTimer} from './input-first-timer.js';

/** Codes of errors that occur before the first byte of a request is sent, so that the request cannot have run. */
const connectErrorCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT',
]);

/** Address and timeouts of an upstream. */
export type HttpUpstreamOptions = {
	/** Name for error messages and logs. */
	name: string;
	/** Address as "IP:port". */
	address: string;
	/**
	 * Time in milliseconds without any byte after which a call fails with error 4004.
	 * @default 5000
	 */
	inactivityTimeout?: number;
	/**
	 * Connect timeout in milliseconds.
	 * @default 2000
	 */
	connectTimeout?: number;
};

/** Aborts a signal when the timer is not restarted within the timeout. */
export class InactivityTimer {
	readonly #controller = new AbortController();
	readonly #timer = new InputFirstTimer();
	readonly #timeout: number;
	#isStopped = false;
	#isPaused = false;

	/** @param timeout - Longest time in milliseconds between restarts. */
	constructor(timeout: number) {
		this.#timeout = timeout;
		this.#start();
	}

	get timeout(): number {
		return this.#timeout;
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	get hasExpired(): boolean {
		return this.#controller.signal.aborted;
	}

	/** Suspends the timer until the next restart. */
	pause(): void {
		this.#isPaused = true;
	}

	/** Starts the timeout again from zero and ends a pause. */
	restart(): void {
		this.#isPaused = false;
		if (!this.#isStopped && !this.hasExpired) {
			this.#start();
		}
	}

	/** Stops the timer for good; an expired timer stays expired. */
	stop(): void {
		this.#isStopped = true;
		this.#timer.stop();
	}

	#start(): void {
		this.#timer.start(this.#timeout, () => {
			if (!this.#isPaused) {
				this.#controller.abort();
			}
		});
	}
}

/** A request to an upstream. */
export type UpstreamRequest = {
	method: Dispatcher.HttpMethod;
	path: string;
	headers?: Record<string, string>;
	body?: readonly Uint8Array[];
	signal: AbortSignal | undefined;
	inactivityTimer: InactivityTimer;
};

/**
 * Connection pools of one upstream.
 *
 * An idle connection may have gone silent, which shows only when it is used: a request that must not meet one is sent on
 * a connection of its own. Control requests share connections, which are all replaced after one of them timed out.
 */
export class HttpUpstream {
	readonly name: string;
	readonly inactivityTimeout: number;
	readonly #origin: string;
	readonly #connectTimeout: number;
	/** Connections that are kept alive between requests. */
	readonly #reusablePool: Pool;
	/** Connections that carry one request each. */
	readonly #singleUsePool: Pool;
	#controlPool: Pool;

	constructor({name, address, inactivityTimeout = 5000, connectTimeout = 2000}: HttpUpstreamOptions) {
		this.name = name;
		this.inactivityTimeout = inactivityTimeout;
		this.#origin = `http://${address}`;
		this.#connectTimeout = connectTimeout;
		this.#reusablePool = this.#createPool();
		this.#singleUsePool = this.#createPool();
		this.#controlPool = this.#createPool();
	}

	/**
	 * Sends a request that makes the upstream do work: a prompt or a call of a service.
	 *
	 * @param freshConnection - Whether to use a new connection; otherwise a kept-alive connection may be reused.
	 */
	async sendRequest(request: UpstreamRequest, freshConnection: boolean): Promise<Dispatcher.ResponseData> {
		return this.#send(freshConnection ? this.#singleUsePool : this.#reusablePool, request);
	}

	/** Sends a control request and reads its answer with `read`. */
	async sendControlRequest<Result>(request: Omit<UpstreamRequest, 'inactivityTimer'>, read: (response: Dispatcher.ResponseData) => Promise<Result>): Promise<Result> {
		const inactivityTimer = new InactivityTimer(this.inactivityTimeout);
		const pool = this.#controlPool;
		try {
			return await read(await this.#send(pool, {...request, inactivityTimer}));
		} catch (error) {
			if (inactivityTimer.hasExpired) {
				this.#replaceControlPool(pool);
			}

			throw this.toError(error, {inactivityTimer, signal: request.signal});
		} finally {
			inactivityTimer.stop();
		}
	}

	/** Maps the failure of a call to a numbered error. */
	toError(error: unknown, {inactivityTimer, signal}: {inactivityTimer: InactivityTimer; signal: AbortSignal | undefined}): CarobquayError {
		if (error instanceof CarobquayError) {
			return error;
		}

		if (inactivityTimer.hasExpired) {
			return new CarobquayError('4004', {message: `upstream "${this.name}" sent nothing for ${inactivityTimer.timeout} ms`, cause: error});
		}

		if (signal?.aborted) {
			return signal.reason instanceof CarobquayError
				? signal.reason
				: new CarobquayError('4009', {message: `call to upstream "${this.name}" was aborted by its caller`, cause: error});
		}

		return isConnectError(error)
			? new CarobquayError('4002', {message: `upstream "${this.name}" at ${this.#origin} cannot be reached: ${errorMessage(error)}`, cause: error})
			: new CarobquayError('4003', {message: `connection to upstream "${this.name}" broke: ${errorMessage(error)}`, cause: error});
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		await Promise.all([this.#reusablePool, this.#singleUsePool, this.#controlPool].map(async pool => pool.destroy()));
	}

	async #send(pool: Pool, {method, path, headers, body, signal, inactivityTimer}: UpstreamRequest): Promise<Dispatcher.ResponseData> {
		const length = (body ?? []).reduce((sum, chunk) => sum + chunk.byteLength, 0);
		const response = await pool.request({
			method,
			path,
			headers: {...headers, ...(body && {'content-length': `${length}`})},
			body: body && requestBody(body, length, inactivityTimer),
			signal: signal ? AbortSignal.any([signal, inactivityTimer.signal]) : inactivityTimer.signal,
			reset: pool === this.#singleUsePool,
		});
		// Destroying a response body emits an error; without a listener it would be thrown. Whoever destroys it knows the cause.
		response.body.on('error', () => undefined);
		if (!isFinalStatus(response.statusCode)) {
			response.body.destroy();
			throw new CarobquayError('4003', {message: `upstream "${this.name}" answered with status ${response.statusCode}, which is not that of a final response`});
		}

		inactivityTimer.restart();
		return response;
	}

	#createPool(): Pool {
		return new Pool(this.#origin, {
			connect: resetAwareConnector(this.#connectTimeout), headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout,
		});
	}

	#replaceControlPool(pool: Pool): void {
		if (this.#controlPool === pool) {
			this.#controlPool = this.#createPool();
			// Calls in progress on the old connections end by their own inactivity timers.
			pool.close().catch(() => undefined);
		}
	}
}

function isConnectError(error: unknown): boolean {
	return error instanceof Error && 'code' in error && typeof error.code === 'string' && connectErrorCodes.has(error.code);
}

/** Time in milliseconds for which an idle connection is kept alive; the longer it idles, the likelier it has gone silent. */
const keepAliveTimeout = 4000;

/** Largest request body in bytes that is written as one buffer. */
const maximumUnsplitBodyBytes = 65_536;

/** Returns a small body as one buffer and a large one as a stream, which restarts the timer each time the upstream takes a chunk. */
function requestBody(body: readonly Uint8Array[], length: number, inactivityTimer: InactivityTimer): Uint8Array | Readable {
	if (length <= maximumUnsplitBodyBytes) {
		return body.length === 1 ? body[0]! : Buffer.concat(body);
	}

	return Readable.from(chunksRestartingTimer(body, inactivityTimer), {objectMode: false});
}

async function * chunksRestartingTimer(body: readonly Uint8Array[], inactivityTimer: InactivityTimer): AsyncGenerator<Uint8Array> {
	for (const chunk of body) {
		inactivityTimer.restart();
		yield chunk;
	}
}
