/**
 * In-process transport to a simulated upstream, with injected faults of the network and of the upstream's process.
 *
 * @module
 */
import {CarobquayError, errorMessage} from '../errors/errors.js';
import type {Faults} from '../stand-in/faults.js';
import {InactivityTimer} from './http-upstream.js';

/** Options of an in-process transport. */
export type MemoryTransportOptions = {
	name: string;
	faults: Faults;
	/** Time in milliseconds without any message after which a call fails with error 4004. */
	inactivityTimeout: number;
	/** Maps an error that the upstream throws to a numbered error. */
	toError: (error: unknown) => CarobquayError;
};

/** Source of messages that are read one at a time. */
export interface MessageSource<Message> {
	next(): Promise<IteratorResult<Message, undefined>>;
	close(): void;
}

/** Refusal caused by an injected fault, with the status that an HTTP upstream would answer with. */
export class InjectedRefusal extends CarobquayError {
	readonly status: number;

	constructor(status: number, message: string) {
		super('4005', {message});
		this.status = status;
	}
}

/** Connection of one call or stream. */
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

	/** Aborts when the connection breaks. */
	get brokenSignal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Whether the connection no longer delivers anything although it stays open. */
	get isSilent(): boolean {
		return this.#isSilent;
	}

	close(): void {
		this.#unsubscribe();
	}
}

/** Makes calls to an upstream in the same process. */
export class MemoryTransport {
	readonly #options: MemoryTransportOptions;

	constructor(options: MemoryTransportOptions) {
		this.#options = options;
	}

	/** Makes a call that has one answer. */
	async call<Result>(work: () => Result | Promise<Result>, {signal, inactivityTimeout}: {signal?: AbortSignal; inactivityTimeout?: number}): Promise<Result> {
		const connection = this.#connect();
		const inactivityTimer = new InactivityTimer(inactivityTimeout ?? this.#options.inactivityTimeout);
		try {
			return await this.#awaitResult(this.#runAtUpstream(work, connection), {connection, inactivityTimer, signal});
		} finally {
			inactivityTimer.stop();
			connection.close();
		}
	}

	/** Yields the messages of a stream up to and including the first for which `isLast` returns true. */
	async * stream<Message>(
		open: () => Promise<MessageSource<Message>>,
		isLast: (message: Message) => boolean,
		signal: AbortSignal,
	): AsyncGenerator<Message> {
		const connection = this.#connect();
		const inactivityTimer = new InactivityTimer(this.#options.inactivityTimeout);
		const limits = {connection, inactivityTimer, signal};
		let source: MessageSource<Message> | undefined;
		try {
			source = await this.#awaitResult(this.#runAtUpstream(open, connection, opened => {
				opened.close();
			}), limits);
			for (;;) {
				// eslint-disable-next-line no-await-in-loop
				const {done, value} = await this.#awaitResult(this.#deliverUnlessSilent(source.next(), connection), limits);
				if (done) {
					throw new CarobquayError('4003', {message: `upstream "${this.#options.name}" closed the stream before its end message`});
				}

				inactivityTimer.pause();
				yield value;
				inactivityTimer.restart();
				if (isLast(value)) {
					return;
				}
			}
		} finally {
			inactivityTimer.stop();
			connection.close();
			// The upstream of a silent connection is not told that the reader left.
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

	/** Runs a call on the upstream's side of the connection, subject to the injected faults. */
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
			throw new InjectedRefusal(429, `upstream "${name}" refused the request because of its rate limit`);
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
			throw new CarobquayError('4003', {message: `connection to upstream "${name}" broke before the answer arrived`});
		}

		return this.#deliverUnlessSilent(Promise.resolve(result), connection);
	}

	/** Passes a result to the caller's side after any freeze; on a silent connection it never arrives. */
	async #deliverUnlessSilent<Result>(result: Promise<Result>, connection: Connection): Promise<Result> {
		const value = await result;
		await this.#options.faults.thawed();
		return connection.isSilent ? neverSettles<Result>() : value;
	}

	/** Waits on the caller's side for a result, until the call times out, is aborted or its connection breaks. */
	async #awaitResult<Result>(
		result: Promise<Result>,
		{connection, inactivityTimer, signal}: {connection: Connection; inactivityTimer: InactivityTimer; signal: AbortSignal | undefined},
	): Promise<Result> {
		const {name} = this.#options;
		try {
			const value = await untilAborted(result, AbortSignal.any([inactivityTimer.signal, connection.brokenSignal, ...(signal ? [signal] : [])]));
			inactivityTimer.restart();
			return value;
		} catch (error) {
			if (error instanceof CarobquayError) {
				throw error;
			}

			throw inactivityTimer.hasExpired
				? new CarobquayError('4004', {message: `upstream "${name}" sent nothing for ${inactivityTimer.timeout} ms`, cause: error})
				: new CarobquayError('4009', {message: `call to upstream "${name}" was aborted by its caller: ${errorMessage(error)}`, cause: error});
		}
	}
}

/** Returns a promise that stays pending. */
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
