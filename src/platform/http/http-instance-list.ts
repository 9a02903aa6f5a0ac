/**
 * Instance list over HTTP.
 *
 * @module
 */
import {z} from 'zod';
import {toInstanceListError} from '../failure.js';
import {type InstanceList, type InstanceSnapshot} from '../instance-list.js';
import {
	assertStatus, HttpChannel, type HttpChannelOptions, parseAnswer,
} from './http-channel.js';

const snapshotAnswer = z.object({
	revision: z.int().nonnegative(),
	instances: z.array(z.object({
		name: z.string(),
		kind: z.enum(['entry', 'engine', 'service']),
		address: z.string(),
		failureDomain: z.string(),
		region: z.string(),
		state: z.enum(['live', 'leaving']),
		labels: z.record(z.string(), z.string()),
	})),
});

/** The instance list as GET /v1/instances. */
export class HttpInstanceList implements InstanceList {
	readonly #channel: HttpChannel;

	constructor(options: HttpChannelOptions) {
		this.#channel = new HttpChannel(options);
	}

	async read(signal?: AbortSignal): Promise<InstanceSnapshot> {
		try {
			const answer = await this.#channel.call({method: 'GET', path: '/v1/instances', signal});
			assertStatus(answer, [200]);
			return parseAnswer(snapshotAnswer, answer);
		} catch (error) {
			throw toInstanceListError(error);
		}
	}

	async close(): Promise<void> {
		await this.#channel.close();
	}
}
