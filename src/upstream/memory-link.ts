/**
 * A connection to an upstream in the same process that shows the faults of a network and of a process.
 *
 * @module
 */
import {CarobquayError, errorMessage} from '../errors/errors.js';
import type {Faults} from '../stand-in/faults.js';
import {SilenceWatch} from './http-upstream.js';

/** Settings of a link. */
export type MemoryLinkOptions = {
	name: string;
	faults: Faults;
	/** Time in milliseconds without any message after which a call counts as silent. */
	silenceLimit: number;
	/** Numbered error for what the upstream itself throws. */
	toError: (error: unknown) => CarobquayError;
};

/** Something that is read message by message. */
export interface MessageSource<Message> {
	next(): Promise<IteratorResult<Message, undefined>>;
	close(): void;
}

/** A refusal by fault, with the status that it would have over HTTP. */
export class LinkRefusal extends CarobquayError {
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
	#silent = false;

	constructor(faults: Faults, name: string) {
		this.#unsubscribe = faults.subscribe(signal => {
			if (signal === 'silence') {
				this.#silent = true;
			} else if (signal === 'cut' || faults.settings.availability === 'refusing') {
				this.#controller.abort(new CarobquayError('4003', {message: `connection to upstream "${name}" broke`}));
			}
		});
	}

	/** Aborts when the connection is cut. */
	get cut(): AbortSignal {
		return this.#controller.signal;
	}

	get silent(): boolean {
		return this.#silent;
	}

	close(): void {
		this.#unsubscribe();
	}
}

/** Calls to an upstream in memory. */
export class MemoryLink {
	readonly #options: MemoryLinkOptions;

	constructor(options: MemoryLinkOptions) {
		this.#options = options;
	}

	/** One call with one answer. */
	async call<Result>(work: () => Result | Promise<Result>, {signal, silenceLimit}: {signal?: AbortSignal; silenceLimit?: number}): Promise<Result> {
		const connection = this.#connect();
		const watch = new SilenceWatch(silenceLimit ?? this.#options.silenceLimit);
		try {
			return await this.#within(this.#serve(work, connection), {connection, watch, signal});
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
		const watch = new SilenceWatch(this.#options.silenceLimit);
		const limits = {connection, watch, signal};
		let source: MessageSource<Message> | undefined;
		try {
			source = await this.#within(this.#serve(open, connection, opened => {
				opened.close();
			}), limits);
			for (;;) {
				// eslint-disable-next-line no-await-in-loop
				const {done, value} = await this.#within(this.#deliver(source.next(), connection), limits);
				if (done) {
					throw new CarobquayError('4003', {message: `upstream "${this.#options.name}" closed a stream before its end`});
				}

				watch.pause();
				yield value;
				watch.touch();
				if (isLast(value)) {
					return;
				}
			}
		} finally {
			watch.stop();
			connection.close();
			// The upstream does not learn that the other end of a silent connection left.
			if (!connection.silent) {
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
	async #serve<Result>(work: () => Result | Promise<Result>, connection: Connection, drop?: (result: Result) => void): Promise<Result> {
		const {name, faults, toError} = this.#options;
		await faults.thawed();
		if (connection.silent || connection.cut.aborted) {
			return forever<Result>();
		}

		if (faults.settings.availability === 'unavailable') {
			throw new LinkRefusal(503, `upstream "${name}" is unavailable`);
		}

		if (!faults.takeRequest()) {
			throw new LinkRefusal(429, `upstream "${name}" refused by its rate limit`);
		}

		await faults.slowDown();
		let result: Result;
		try {
			result = await work();
		} catch (error) {
			throw toError(error);
		}

		if (faults.takeLostAnswer()) {
			drop?.(result);
			throw new CarobquayError('4003', {message: `connection to upstream "${name}" broke before the answer`});
		}

		return this.#deliver(Promise.resolve(result), connection);
	}

	/** Passes something on to the caller's side unless a fault withholds it. */
	async #deliver<Result>(result: Promise<Result>, connection: Connection): Promise<Result> {
		const value = await result;
		await this.#options.faults.thawed();
		return connection.silent ? forever<Result>() : value;
	}

	/** What the caller's side makes of it. */
	async #within<Result>(result: Promise<Result>, {connection, watch, signal}: {connection: Connection; watch: SilenceWatch; signal: AbortSignal | undefined}): Promise<Result> {
		const {name} = this.#options;
		try {
			const value = await untilAborted(result, AbortSignal.any([watch.signal, connection.cut, ...(signal ? [signal] : [])]));
			watch.touch();
			return value;
		} catch (error) {
			if (error instanceof CarobquayError) {
				throw error;
			}

			throw watch.expired
				? new CarobquayError('4004', {message: `upstream "${name}" sent nothing for ${watch.limit} ms`, cause: error})
				: new CarobquayError('4009', {message: `call of upstream "${name}" was abandoned: ${errorMessage(error)}`, cause: error});
		}
	}
}

/** Never settles. */
async function forever<Result>(): Promise<Result> {
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
