/**
 * Weight store over HTTP.
 *
 * @module
 */
import {z} from 'zod';
import {toWeightsError, unknownWeights} from '../failure.js';
import {type WeightEntry, type WeightStore} from '../weight-store.js';
import {
	assertStatus, HttpChannel, type HttpChannelOptions, parseAnswer,
} from './http-channel.js';

/** Status of an admission of an entry that the store does not hold. */
const unknownEntryStatus = 404;

const entry = z.object({name: z.string(), version: z.string(), bytes: z.int().nonnegative()});
const entriesAnswer = z.object({entries: z.array(entry)});

/** The weight store as GET /v1/weights and POST /v1/admissions. */
export class HttpWeightStore implements WeightStore {
	readonly #channel: HttpChannel;

	constructor(options: HttpChannelOptions) {
		this.#channel = new HttpChannel(options);
	}

	async list(signal?: AbortSignal): Promise<WeightEntry[]> {
		try {
			const answer = await this.#channel.call({method: 'GET', path: '/v1/weights', signal});
			assertStatus(answer, [200]);
			return parseAnswer(entriesAnswer, answer).entries;
		} catch (error) {
			throw toWeightsError(error, 'read');
		}
	}

	async admit(name: string, version: string, signal?: AbortSignal): Promise<WeightEntry> {
		try {
			const answer = await this.#channel.call({
				method: 'POST',
				path: '/v1/admissions',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({name, version}),
				signal,
			});
			assertStatus(answer, [200, unknownEntryStatus]);
			if (answer.status === unknownEntryStatus) {
				throw unknownWeights(name, version);
			}

			return parseAnswer(entry, answer);
		} catch (error) {
			throw toWeightsError(error, 'write');
		}
	}

	async close(): Promise<void> {
		await this.#channel.close();
	}
}
