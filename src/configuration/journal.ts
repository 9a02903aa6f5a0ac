/**
 * How the configuration lies in the table service: a small head, the document, the history and the ids of changes.
 *
 * @module
 */
import {z} from 'zod';
import type {TableService} from '../platform/table.js';
import type {HistoryEntry} from './certification.js';

/** Read by every instance in each poll, so it is small. */
const headKey = 'configuration/head';
const documentKey = 'configuration/document';
const historyPrefix = 'configuration/history/';
const changePrefix = 'configuration/change/';

/** Generations for which the history is kept. */
const keptGenerations = 10_000;

/** Digits of a generation in a key, so that keys sort by generation. */
const generationDigits = 12;

const headShape = z.object({generation: z.int().positive()});
const documentShape = z.object({generation: z.int().positive(), text: z.string()});
const historyShape = z.object({
	generation: z.int().positive(),
	changeId: z.string(),
	operator: z.string(),
	acceptedAt: z.number(),
	changes: z.array(z.object({section: z.string(), before: z.string().optional(), after: z.string().optional()})),
});

/** The document as the table has it; version 0 where there is none. */
export type StoredDocument = {generation: number; text: string; version: number};

/** The configuration in the table service. Methods throw what the table throws. */
export class Journal {
	readonly #table: TableService;

	constructor(table: TableService) {
		this.#table = table;
	}

	/** Generation of the head; 0 before the first. */
	async generation(): Promise<number> {
		const [item] = await this.#table.read([headKey]);
		return item ? headShape.parse(item.value).generation : 0;
	}

	async document(): Promise<StoredDocument> {
		const [item] = await this.#table.read([documentKey]);
		return item ? {...documentShape.parse(item.value), version: item.version} : {generation: 0, text: '', version: 0};
	}

	/** Generation as which a change was accepted. */
	async accepted(changeId: string): Promise<number | undefined> {
		const [item] = await this.#table.read([changePrefix + changeId]);
		return item && headShape.parse(item.value).generation;
	}

	/** Changes after a generation, oldest first. */
	async history(after: number, limit = 1000): Promise<HistoryEntry[]> {
		const items = await this.#table.list(historyPrefix, {after: historyKey(after), limit});
		return items.map(({value}) => historyShape.parse(value));
	}

	/**
	 * Writes a change.
	 *
	 * @param version - Version of the document that the change was certified against.
	 * @returns false where the document has changed or the change was written before.
	 */
	async commit(entry: HistoryEntry, text: string, version: number): Promise<boolean> {
		const {generation, changeId} = entry;
		const result = await this.#table.transact({
			conditions: [{key: documentKey, version}, {key: changePrefix + changeId, version: 0}],
			writes: [
				{kind: 'put', key: documentKey, value: {generation, text}},
				{kind: 'put', key: headKey, value: {generation}},
				{kind: 'put', key: historyKey(generation), value: entry},
				{kind: 'put', key: changePrefix + changeId, value: {generation}},
				...generation > keptGenerations ? [{kind: 'delete', key: historyKey(generation - keptGenerations)} as const] : [],
			],
		});
		return result.committed;
	}
}

function historyKey(generation: number): string {
	return historyPrefix + String(generation).padStart(generationDigits, '0');
}
