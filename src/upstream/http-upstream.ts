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
const connectFailures: ReadonlySet<string> = new Set([
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
	silenceLimit?: number;
	/**
	 * Time in milliseconds to connect.
	 * @default 2000
	 */
	connectTimeout?: number;
};

/** Aborts where nothing happens for too long. */
export class SilenceWatch {
	readonly #controller = new AbortController();
	readonly #timer: NodeJS.Timeout;
	readonly #limit: number;
	#stopped = false;
	#paused = false;

	/** @param limit - Time in milliseconds between touches. */
	constructor(limit: number) {
		this.#limit = limit;
		this.#timer = setTimeout(() => {
			if (!this.#paused) {
				this.#controller.abort();
			}
		}, limit);
	}

	get limit(): number {
		return this.#limit;
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	get expired(): boolean {
		return this.#controller.signal.aborted;
	}

	/** Does not count until the next touch. */
	pause(): void {
		this.#paused = true;
	}

	/** Starts counting again. */
	touch(): void {
		this.#paused = false;
		if (!this.#stopped && !this.expired) {
			this.#timer.refresh();
		}
	}

	/** Never aborts any more. */
	stop(): void {
		this.#stopped = true;
		clearTimeout(this.#timer);
	}
}

/** A request to an upstream. */
export type UpstreamCall = {
	method: Dispatcher.HttpMethod;
	path: string;
	headers?: Record<string, string>;
	body?: readonly Uint8Array[];
	signal: AbortSignal | undefined;
	watch: SilenceWatch;
};

/**
 * Connections to one upstream.
 *
 * Work goes over a connection of its own, so that it never meets one that went silent while idle. Control calls share
 * connections, which are replaced after one was silent.
 */
export class HttpUpstream {
	readonly name: string;
	readonly silenceLimit: number;
	readonly #origin: string;
	readonly #connectTimeout: number;
	/** Connections that are kept between requests. */
	readonly #work: Pool;
	/** Connections that carry one request each. */
	readonly #fresh: Pool;
	#control: Pool;

	constructor({name, address, silenceLimit = 5000, connectTimeout = 2000}: HttpUpstreamOptions) {
		this.name = name;
		this.silenceLimit = silenceLimit;
		this.#origin = `http://${address}`;
		this.#connectTimeout = connectTimeout;
		this.#work = this.#createPool();
		this.#fresh = this.#createPool();
		this.#control = this.#createPool();
	}

	/**
	 * Sends work.
	 *
	 * @param fresh - Whether on a new connection; otherwise one that an earlier exchange left whole may be used.
	 */
	async work(call: UpstreamCall, fresh: boolean): Promise<Dispatcher.ResponseData> {
		return this.#request(fresh ? this.#fresh : this.#work, call);
	}

	/** Sends a control call and reads its answer with `read`. */
	async control<Result>(call: Omit<UpstreamCall, 'watch'>, read: (response: Dispatcher.ResponseData) => Promise<Result>): Promise<Result> {
		const watch = new SilenceWatch(this.silenceLimit);
		const pool = this.#control;
		try {
			return await read(await this.#request(pool, {...call, watch}));
		} catch (error) {
			if (watch.expired) {
				this.#replace(pool);
			}

			throw this.toError(error, {watch, signal: call.signal});
		} finally {
			watch.stop();
		}
	}

	/** The numbered error for a failure of a call. */
	toError(error: unknown, {watch, signal}: {watch: SilenceWatch; signal: AbortSignal | undefined}): CarobquayError {
		if (error instanceof CarobquayError) {
			return error;
		}

		if (watch.expired) {
			return new CarobquayError('4004', {message: `upstream "${this.name}" sent nothing for ${watch.limit} ms`, cause: error});
		}

		if (signal?.aborted) {
			return signal.reason instanceof CarobquayError
				? signal.reason
				: new CarobquayError('4009', {message: `call of upstream "${this.name}" was abandoned`, cause: error});
		}

		return isConnectFailure(error)
			? new CarobquayError('4002', {message: `upstream "${this.name}" at ${this.#origin} cannot be reached: ${errorMessage(error)}`, cause: error})
			: new CarobquayError('4003', {message: `connection to upstream "${this.name}" broke: ${errorMessage(error)}`, cause: error});
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		await Promise.all([this.#work, this.#fresh, this.#control].map(async pool => pool.destroy()));
	}

	async #request(pool: Pool, {method, path, headers, body, signal, watch}: UpstreamCall): Promise<Dispatcher.ResponseData> {
		const length = (body ?? []).reduce((sum, chunk) => sum + chunk.byteLength, 0);
		const response = await pool.request({
			method,
			path,
			headers: {...headers, ...(body && {'content-length': `${length}`})},
			body: body && requestBody(body, length, watch),
			signal: signal ? AbortSignal.any([signal, watch.signal]) : watch.signal,
			reset: pool === this.#fresh,
		});
		// A body that is abandoned fails by that; whoever abandons it knows why.
		response.body.on('error', () => undefined);
		watch.touch();
		return response;
	}

	#createPool(): Pool {
		return new Pool(this.#origin, {
			connect: {timeout: this.#connectTimeout}, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: keptIdle,
		});
	}

	#replace(pool: Pool): void {
		if (this.#control === pool) {
			this.#control = this.#createPool();
			// Calls under way on the old connections end by their own watch.
			pool.close().catch(() => undefined);
		}
	}
}

function isConnectFailure(error: unknown): boolean {
	return error instanceof Error && 'code' in error && typeof error.code === 'string' && connectFailures.has(error.code);
}

/** Time in milliseconds that an idle connection is kept: the longer, the likelier it has gone silent. */
const keptIdle = 4000;

/** Largest body in bytes that is handed over in one piece. */
const largestWholeBody = 65_536;

/** A small body in one piece; a large one chunk by chunk, each of which shows that the upstream takes it. */
function requestBody(body: readonly Uint8Array[], length: number, watch: SilenceWatch): Uint8Array | Readable {
	if (length <= largestWholeBody) {
		return body.length === 1 ? body[0]! : Buffer.concat(body);
	}

	return Readable.from(touching(body, watch), {objectMode: false});
}

async function * touching(body: readonly Uint8Array[], watch: SilenceWatch): AsyncGenerator<Uint8Array> {
	for (const chunk of body) {
		watch.touch();
		yield chunk;
	}
}
