/**
 * `carobquay get`: prints the configuration in force, its history or the difference of two generations.
 *
 * @module
 */
import {z} from 'zod';
import {OperatorClient, type OperatorOptions} from './operator-client.js';
import {print, printJson, printTable} from './output.js';

/** Options of the command. */
export type GetOptions = OperatorOptions & {
	json?: boolean;
	/** Whether the newest changes are printed in place of the document. */
	history?: boolean;
	/** Two generations whose difference is printed in place of the document. */
	diff?: readonly string[];
};

const changeShape = z.object({section: z.string(), before: z.string().optional(), after: z.string().optional()});
const documentShape = z.object({generation: z.number(), text: z.string()});
const differenceShape = z.object({changes: z.array(changeShape)});
const historyShape = z.object({
	entries: z.array(z.object({
		generation: z.number(), changeId: z.string(), operator: z.string(), acceptedAt: z.number(), changes: z.array(changeShape),
	})),
});

/** Prints what an instance knows of the configuration. */
export async function get({history, diff, json = false, ...options}: GetOptions): Promise<void> {
	const client = new OperatorClient(options);
	if (history) {
		await printHistory(client, json);
	} else if (diff) {
		await printDifference(client, diff, json);
	} else {
		await printDocument(client, json);
	}
}

async function printDocument(client: OperatorClient, json: boolean): Promise<void> {
	const answer = await client.ask('GET', '/v1/configuration', documentShape);
	if (json) {
		printJson(answer);
		return;
	}

	print(`; generation ${answer.generation}`);
	print(answer.text.trimEnd());
}

async function printHistory(client: OperatorClient, json: boolean): Promise<void> {
	const answer = await client.ask('GET', '/v1/configuration/history', historyShape);
	if (json) {
		printJson(answer);
		return;
	}

	printTable(['GENERATION', 'ACCEPTED', 'OPERATOR', 'CHANGE', 'SECTIONS'], answer.entries.map(entry => [
		String(entry.generation), new Date(entry.acceptedAt).toISOString(), entry.operator, entry.changeId, entry.changes.map(({section}) => section).join(', '),
	]));
}

async function printDifference(client: OperatorClient, [from = '', to = '']: readonly string[], json: boolean): Promise<void> {
	const query = new URLSearchParams({from, to});
	const answer = await client.ask('GET', `/v1/configuration/difference?${query.toString()}`, differenceShape);
	if (json) {
		printJson(answer);
		return;
	}

	for (const {before, after} of answer.changes) {
		printPrefixed('-', before);
		printPrefixed('+', after);
	}
}

function printPrefixed(prefix: string, text: string | undefined): void {
	for (const line of text?.split('\n') ?? []) {
		print(`${prefix} ${line}`);
	}
}
