/**
 * Messages that a client must not pass on, mixed into a stream by fault.
 *
 * @module
 */
import type {EngineMessage} from '../../upstream/engine.js';
import type {Faults} from '../faults.js';
import type {StreamReader} from './hosted-stream.js';

/** Request that stray messages claim to belong to. */
const strayRequestId = 'stray-request';

/** Reads a stream; while the fault is on, each token comes again and is followed by one of another request. */
export class StrayMessageReader {
	readonly #reader: StreamReader;
	readonly #faults: Faults;
	readonly #strays: EngineMessage[] = [];

	constructor(reader: StreamReader, faults: Faults) {
		this.#reader = reader;
		this.#faults = faults;
	}

	/** The next message, stray or not. */
	async next(): Promise<IteratorResult<EngineMessage, undefined>> {
		const stray = this.#strays.shift();
		if (stray) {
			return {done: false, value: stray};
		}

		const result = await this.#reader.next();
		if (!result.done && result.value.kind === 'token' && this.#faults.settings.strayMessages) {
			this.#strays.push(result.value, {...result.value, requestId: strayRequestId, offset: result.value.offset + 1});
		}

		return result;
	}

	/** Ends reading; the stream goes on. */
	close(): void {
		this.#reader.close();
	}
}
