/**
 * A connection to an upstream in the same process that shows the faults of a network and of a process.
 *
 * @module
 */
import {CarobquayError, errorMessage} from '../errors/errors.js';
import type {Faults} from '../stand-in/faults.js';
import {InactivityTimer} from './http-upstream.js';

/** Settings of a link. */
export type MemoryTransportOptions = {
	name: string;
	faults: Faults;
	/** Time in milliseconds without any message after which a call counts as silent. */
	inactivityTimeout: number;
	/** Numbered error for what the upstream itself throws. */
	toError: (error: unknown) => CarobquayError;
};

/** Something that is read message by message. */
export interface MessageSource<Message> {
	next(): Promise<IteratorResult<Message, undefined>>;
	close(): void;
}

/** A refusal by fault, with the status that it would have over HTTP. */
export class InjectedRefusal extends CarobquayError {
	readonly status: number;

	constructor(status: number, message: string) {
		super('4005', {message});
		this.status = status;
	}
}

/** One call or stream on a link. */
class Connection {
	readonly #controller = new AbortController();
	readonly #unsubscribe: () => void;
	#isSilent = false;

	constructor(faults: Faults, name: string) {
		this.#unsubscribe = faults.subscribe(signal => {
			if (signal === 'silence') {
				this.#isSilent = true;
			} else if (signal === 'cut' || faults.settings.availability === 'refusing') {
				this.#controller.abort(new CarobquayError('4003', {message: `connection to upstream "${name}" broke`}));
			}
		});
	}

	/** Aborts when the connection is cut. */
	get brokenSignal(): AbortSignal {
		return this.#controller.signal;
	}

	get isSilent(): boolean {
		return this.#isSilent;
	}

	close(): void {
		this.#unsubscribe();
	}
}

/** Calls to an upstream in memory. */
export class MemoryTransport {
	readonly #options: MemoryTransportOptions;

	constructor(options: MemoryTransportOptions) {
		this.#options = options;
	}

	/** One call with one answer. */
	async call<Result>(work: () => Result | Promise<Result>, {signal, silenceLimit}: {signal?: AbortSignal; silenceLimit?: number}): Promise<Result> {
		const connection = this.#connect();
		const watch = new InactivityTimer(silenceLimit ?? this.#options.inactivityTimeout);
		try {
			return await this.#awaitResult(this.#runAtUpstream(work, connection), {connection, watch, signal});
		} finally {
			watch.stop();
			connection.close();
		}
	}

	/** A stream of messages, up to the one for which `isLast` holds. */
	async * stream<Message>(
		open: () => Promise<MessageSource<Message>>,
		isLast: (message: Message) => boolean,
		signal: AbortSignal,
	): AsyncGenerator<Message> {
		const connection = this.#connect();
		const watch = new InactivityTimer(this.#options.inactivityTimeout);
		const limits = {connection, watch, signal};
		let source: MessageSource<Message> | undefined;
		try {
			source = await this.#awaitResult(this.#runAtUpstream(open, connection, opened => {
				opened.close();
			}), limits);
			for (;;) {
				// eslint-disable-next-line no-await-in-loop
				const {done, value} = await this.#awaitResult(this.#deliverUnlessSilent(source.next(), connection), limits);
				if (done) {
					throw new CarobquayError('4003', {message: `upstream "${this.#options.name}" closed a stream before its end`});
				}

				watch.pause();
				yield value;
				watch.restart();
				if (isLast(value)) {
					return;
				}
			}
		} finally {
			watch.stop();
			connection.close();
			// The upstream does not learn that the other end of a silent connection left.
			if (!connection.isSilent) {
				source?.close();
			}
		}
	}

	#connect(): Connection {
		const {name, faults} = this.#options;
		if (faults.settings.availability === 'refusing') {
			throw new CarobquayError('4002', {message: `upstream "${name}" refused the connection`});
		}

		return new Connection(faults, name);
	}

	/** What the upstream's side does with a call. */
	async #runAtUpstream<Result>(work: () => Result | Promise<Result>, connection: Connection, discard?: (result: Result) => void): Promise<Result> {
		const {name, faults, toError} = this.#options;
		await faults.thawed();
		if (connection.isSilent || connection.brokenSignal.aborted) {
			return neverSettles<Result>();
		}

		if (faults.settings.availability === 'unavailable') {
			throw new InjectedRefusal(503, `upstream "${name}" is unavailable`);
		}

		if (!faults.takeRequest()) {
			throw new InjectedRefusal(429, `upstream "${name}" refused by its rate limit`);
		}

		await faults.slowDown();
		let result: Result;
		try {
			result = await work();
		} catch (error) {
			throw toError(error);
		}

		if (faults.takeLostAnswer()) {
			discard?.(result);
			throw new CarobquayError('4003', {message: `connection to upstream "${name}" broke before the answer`});
		}

		return this.#deliverUnlessSilent(Promise.resolve(result), connection);
	}

	/** Passes something on to the caller's side unless a fault withholds it. */
	async #deliverUnlessSilent<Result>(result: Promise<Result>, connection: Connection): Promise<Result> {
		const value = await result;
		await this.#options.faults.thawed();
		return connection.isSilent ? neverSettles<Result>() : value;
	}

	/** What the caller's side makes of it. */
	async #awaitResult<Result>(result: Promise<Result>, {connection, watch, signal}: {connection: Connection; watch: InactivityTimer; signal: AbortSignal | undefined}): Promise<Result> {
		const {name} = this.#options;
		try {
			const value = await untilAborted(result, AbortSignal.any([watch.signal, connection.brokenSignal, ...(signal ? [signal] : [])]));
			watch.restart();
			return value;
		} catch (error) {
			if (error instanceof CarobquayError) {
				throw error;
			}

			throw watch.hasExpired
				? new CarobquayError('4004', {message: `upstream "${name}" sent nothing for ${watch.timeout} ms`, cause: error})
				: new CarobquayError('4009', {message: `call of upstream "${name}" was abandoned: ${errorMessage(error)}`, cause: error});
		}
	}
}

/** Never settles. */
async function neverSettles<Result>(): Promise<Result> {
	return new Promise<Result>(() => {
		// Stays pending.
	});
}

async function untilAborted<Result>(result: Promise<Result>, signal: AbortSignal): Promise<Result> {
	return new Promise((resolve, reject) => {
		const onAbort = (): void => {
			reject(signal.reason instanceof Error ? signal.reason : new Error('aborted'));
		};

		if (signal.aborted) {
			onAbort();
		}

		signal.addEventListener('abort', onAbort, {once: true});
		result.then(resolve, reject).finally(() => {
			signal.removeEventListener('abort', onAbort);
		});
	});
}
