/**
 * `carobquay apply`: proposes a configuration.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import {z} from 'zod';
import {parseConfiguration} from '../configuration/document.js';
import {OperatorClient, type OperatorOptions} from './operator-client.js';
import {print, printJson} from './output.js';

/** Options of the command. */
export type ApplyOptions = OperatorOptions & {
	/** Path of the configuration document. */
	file: string;
	json?: boolean;
};

/** Checks a document here, then has an instance accept it. */
export async function apply({file, ...options}: ApplyOptions): Promise<void> {
	const text = await readFile(file, 'utf8');
	parseConfiguration(text, 1);
	const answer = await new OperatorClient(options).ask('PUT', '/v1/configuration', z.object({generation: z.number()}), text);
	if (options.json) {
		printJson(answer);
		return;
	}

	print(`accepted as generation ${answer.generation}`);
}
