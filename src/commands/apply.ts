/**
 * `carobquay apply`: proposes a configuration or goes back to an older one.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import {userInfo} from 'node:os';
import {ulid} from 'ulid';
import {z} from 'zod';
import {parseConfiguration} from '../configuration/document.js';
import {CarobquayError} from '../errors/errors.js';
import {sleep} from '../platform/backoff.js';
import {OperatorClient, type OperatorOptions} from './operator-client.js';
import {print, printJson} from './output.js';

/** Attempts to settle a change whose answer was lost. */
const attempts = 5;

/** Time in milliseconds between two attempts. */
const attemptInterval = 2000;

/** Codes after which it is not known whether the change was accepted. */
const unknownCodes: ReadonlySet<string> = new Set(['5002', '6003']);

const acceptedShape = z.object({generation: z.number()});

/** Options of the command; one of `file` and `rollback` is given. */
export type ApplyOptions = OperatorOptions & {
	/** Path of the configuration document. */
	file?: string;
	/** Generation whose document is proposed again. */
	rollback?: string;
	json?: boolean;
};

/** Checks a document here, then has an instance accept it. */
export async function apply({file, rollback, ...options}: ApplyOptions): Promise<void> {
	if ((file === undefined) === (rollback === undefined)) {
		throw new CarobquayError('6001', {message: 'give one of --file and --rollback'});
	}

	const query = new URLSearchParams({change: ulid(), operator: userInfo().username});
	const client = new OperatorClient(options);
	const answer = file === undefined
		? await settle(async () => client.ask('PUT', `/v1/configuration/rollback?${query.toString()}&generation=${rollback}`, acceptedShape))
		: await propose(client, query, await readFile(file, 'utf8'));
	if (options.json) {
		printJson(answer);
		return;
	}

	print(`accepted as generation ${answer.generation}`);
}

async function propose(client: OperatorClient, query: URLSearchParams, text: string) {
	parseConfiguration(text, 1);
	return settle(async () => client.ask('PUT', `/v1/configuration?${query.toString()}`, acceptedShape, text));
}

/** Sends a change again under its id while it is not known whether it was accepted; it is accepted at most once. */
async function settle<Answer>(send: () => Promise<Answer>): Promise<Answer> {
	for (let attempt = 1; ; attempt++) {
		try {
			return await send(); // eslint-disable-line no-await-in-loop
		} catch (error) {
			const isSent = attempt > 1 && error instanceof CarobquayError && error.code === '4002';
			if (attempt === attempts || !(error instanceof CarobquayError) || !(unknownCodes.has(error.code) || isSent)) {
				throw isSent ? new CarobquayError('6003', {message: error.message, cause: error}) : error;
			}

			await sleep(attemptInterval); // eslint-disable-line no-await-in-loop
		}
	}
}
