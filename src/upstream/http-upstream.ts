/**
 * What the HTTP clients of engines and services share: connections, silence and the truth about failures.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {type Dispatcher, Pool} from 'undici';
import {CarobquayError, errorMessage} from '../errors/errors.js';

/** Codes of failures that come before the first byte of a request. */
const connectErrorCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT',
]);

/** Where an upstream is and how long to wait for it. */
export type HttpUpstreamOptions = {
	/** Name for errors and logs. */
	name: string;
	/** Address as "IP:port". */
	address: string;
	/**
	 * Time in milliseconds without any byte after which a connection counts as silent.
	 * @default 5000
	 */
	inactivityTimeout?: number;
	/**
	 * Time in milliseconds to connect.
	 * @default 2000
	 */
	connectTimeout?: number;
};

/** Aborts where nothing happens for too long. */
export class InactivityTimer {
	readonly #controller = new AbortController();
	readonly #timer: NodeJS.Timeout;
	readonly #timeout: number;
	#isStopped = false;
	#isPaused = false;

	/** @param timeout - Time in milliseconds between touches. */
	constructor(timeout: number) {
		this.#timeout = timeout;
		this.#timer = setTimeout(() => {
			if (!this.#isPaused) {
				this.#controller.abort();
			}
		}, timeout);
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

	/** Does not count until the next touch. */
	pause(): void {
		this.#isPaused = true;
	}

	/** Starts counting again. */
	restart(): void {
		this.#isPaused = false;
		if (!this.#isStopped && !this.hasExpired) {
			this.#timer.refresh();
		}
	}

	/** Never aborts any more. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
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
 * Connections to one upstream.
 *
 * Work goes over a connection of its own, so that it never meets one that went silent while idle. Control calls share
 * connections, which are replaced after one was silent.
 */
export class HttpUpstream {
	readonly name: string;
	readonly inactivityTimeout: number;
	readonly #origin: string;
	readonly #connectTimeout: number;
	/** Connections that are kept between requests. */
	readonly #reusablePool: Pool;
	/** Connections that carry one request each. */
	readonly #singleUsePool: Pool;
	#controlPool: Pool;

	constructor({name, address, inactivityTimeout: silenceLimit = 5000, connectTimeout = 2000}: HttpUpstreamOptions) {
		this.name = name;
		this.inactivityTimeout = silenceLimit;
		this.#origin = `http://${address}`;
		this.#connectTimeout = connectTimeout;
		this.#reusablePool = this.#createPool();
		this.#singleUsePool = this.#createPool();
		this.#controlPool = this.#createPool();
	}

	/**
	 * Sends work.
	 *
	 * @param fresh - Whether on a new connection; otherwise one that an earlier exchange left whole may be used.
	 */
	async sendRequest(call: UpstreamRequest, fresh: boolean): Promise<Dispatcher.ResponseData> {
		return this.#send(fresh ? this.#singleUsePool : this.#reusablePool, call);
	}

	/** Sends a control call and reads its answer with `read`. */
	async sendControlRequest<Result>(call: Omit<UpstreamRequest, 'watch'>, read: (response: Dispatcher.ResponseData) => Promise<Result>): Promise<Result> {
		const watch = new InactivityTimer(this.inactivityTimeout);
		const pool = this.#controlPool;
		try {
			return await read(await this.#send(pool, {...call, inactivityTimer: watch}));
		} catch (error) {
			if (watch.hasExpired) {
				this.#replaceControlPool(pool);
			}

			throw this.toError(error, {watch, signal: call.signal});
		} finally {
			watch.stop();
		}
	}

	/** The numbered error for a failure of a call. */
	toError(error: unknown, {watch, signal}: {watch: InactivityTimer; signal: AbortSignal | undefined}): CarobquayError {
		if (error instanceof CarobquayError) {
			return error;
		}

		if (watch.hasExpired) {
			return new CarobquayError('4004', {message: `upstream "${this.name}" sent nothing for ${watch.timeout} ms`, cause: error});
		}

		if (signal?.aborted) {
			return signal.reason instanceof CarobquayError
				? signal.reason
				: new CarobquayError('4009', {message: `call of upstream "${this.name}" was abandoned`, cause: error});
		}

		return isConnectError(error)
			? new CarobquayError('4002', {message: `upstream "${this.name}" at ${this.#origin} cannot be reached: ${errorMessage(error)}`, cause: error})
			: new CarobquayError('4003', {message: `connection to upstream "${this.name}" broke: ${errorMessage(error)}`, cause: error});
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		await Promise.all([this.#reusablePool, this.#singleUsePool, this.#controlPool].map(async pool => pool.destroy()));
	}

	async #send(pool: Pool, {method, path, headers, body, signal, inactivityTimer: watch}: UpstreamRequest): Promise<Dispatcher.ResponseData> {
		const length = (body ?? []).reduce((sum, chunk) => sum + chunk.byteLength, 0);
		const response = await pool.request({
			method,
			path,
			headers: {...headers, ...(body && {'content-length': `${length}`})},
			body: body && requestBody(body, length, watch),
			signal: signal ? AbortSignal.any([signal, watch.signal]) : watch.signal,
			reset: pool === this.#singleUsePool,
		});
		// A body that is abandoned fails by that; whoever abandons it knows why.
		response.body.on('error', () => undefined);
		watch.restart();
		return response;
	}

	#createPool(): Pool {
		return new Pool(this.#origin, {
			connect: {timeout: this.#connectTimeout}, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: keepAliveTimeout,
		});
	}

	#replaceControlPool(pool: Pool): void {
		if (this.#controlPool === pool) {
			this.#controlPool = this.#createPool();
			// Calls under way on the old connections end by their own watch.
			pool.close().catch(() => undefined);
		}
	}
}

function isConnectError(error: unknown): boolean {
	return error instanceof Error && 'code' in error && typeof error.code === 'string' && connectErrorCodes.has(error.code);
}

/** Time in milliseconds that an idle connection is kept: the longer, the likelier it has gone silent. */
const keepAliveTimeout = 4000;

/** Largest body in bytes that is handed over in one piece. */
const maximumUnsplitBodyBytes = 65_536;

/** A small body in one piece; a large one chunk by chunk, each of which shows that the upstream takes it. */
function requestBody(body: readonly Uint8Array[], length: number, watch: InactivityTimer): Uint8Array | Readable {
	if (length <= maximumUnsplitBodyBytes) {
		return body.length === 1 ? body[0]! : Buffer.concat(body);
	}

	return Readable.from(chunksRestartingTimer(body, watch), {objectMode: false});
}

async function * chunksRestartingTimer(body: readonly Uint8Array[], watch: InactivityTimer): AsyncGenerator<Uint8Array> {
	for (const chunk of body) {
		watch.restart();
		yield chunk;
	}
}
