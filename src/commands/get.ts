/**
 * `carobquay get`: prints the configuration in force.
 *
 * @module
 */
import {z} from 'zod';
import {OperatorClient, type OperatorOptions} from './operator-client.js';
import {print, printJson} from './output.js';

/** Options of the command. */
export type GetOptions = OperatorOptions & {json?: boolean};

/** Prints the configuration that an instance has in force. */
export async function get(options: GetOptions): Promise<void> {
	const answer = await new OperatorClient(options).ask('GET', '/v1/configuration', z.object({generation: z.number(), text: z.string()}));
	if (options.json) {
		printJson(answer);
		return;
	}

	print(`; generation ${answer.generation}`);
	print(answer.text.trimEnd());
}
