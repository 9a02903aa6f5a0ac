/**
 * Proposes configurations to the platform's table service and follows what is accepted.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {ulid} from 'ulid';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import {Backoff, sleep} from '../platform/backoff.js';
import type {TableService} from '../platform/table.js';
import type {EventLog} from '../telemetry/log.js';
import {certify, type Certification, type HistoryEntry} from './certification.js';
import {parseConfiguration} from './document.js';
import {Journal, type StoredDocument} from './journal.js';
import type {Configuration} from './model.js';
import {
	changeSections, compareSections, invertChanges, joinSections, type SectionChange, splitSections, statedGeneration,
} from './sections.js';

/** Time in milliseconds for which a change is pursued through races and lost answers. */
const applyTimeout = 10_000;

/** Part of the poll interval by which polls are spread, so that instances do not ask in step. */
const jitter = 0.2;

/** A configuration with the document it was read from. */
export type AcceptedConfiguration = {configuration: Configuration; text: string};

/** What the store works with. */
export type ConfigurationStoreOptions = {
	table: TableService;
	log: EventLog;
	/** Time in milliseconds between looks at the table. */
	pollInterval: number;
	/** Takes each newer configuration. */
	onChange: (accepted: AcceptedConfiguration) => void;
};

/** Who proposes a change. */
export type ChangeOrigin = {
	/**
	 * Id that is the same when the change is sent again; it is accepted at most once.
	 * @default a new ULID
	 */
	changeId?: string;
	/**
	 * Name of the operator, as stated.
	 * @default ''
	 */
	operator?: string;
};

/** A change to certify against the newest document. */
type Proposal = (stored: StoredDocument) => Promise<Certification>;

/** Follows the configuration; what is in force here never goes back to a lower generation. */
export class ConfigurationStore {
	readonly #options: ConfigurationStoreOptions;
	readonly #journal: Journal;
	#current: AcceptedConfiguration | undefined;
	#timer: NodeJS.Timeout | undefined;
	#stopped = false;
	#isReadable = true;

	constructor(options: ConfigurationStoreOptions) {
		this.#options = options;
		this.#journal = new Journal(options.table);
	}

	/** The configuration in force here. */
	get current(): AcceptedConfiguration | undefined {
		return this.#current;
	}

	/** Looks once and goes on looking. Resolves also where the table cannot be read. */
	async start(): Promise<void> {
		await this.#poll();
	}

	stop(): void {
		this.#stopped = true;
		clearTimeout(this.#timer);
	}

	/**
	 * Proposes a document as the next generation. A document that says "; generation N" in its first line keeps what
	 * others have changed since N in sections that it does not change itself.
	 *
	 * @throws {CarobquayError} 6001 where it is invalid, 6002 where a section that it changes was changed since, 5001
	 * and 5003 where it was not accepted, 5002 where that is not known; sent again with the same id it is settled.
	 */
	async apply(text: string, origin: ChangeOrigin = {}): Promise<Configuration> {
		const submitted = splitSections(text);
		const base = statedGeneration(text);
		parseConfiguration(text, 1);
		return this.#propose(origin, async stored => {
			const since = base === undefined || base >= stored.generation ? [] : await this.#since(base);
			return certify(splitSections(stored.text), submitted, since);
		});
	}

	/**
	 * Proposes the document of an older generation as the next one.
	 *
	 * @throws {CarobquayError} As `apply`; 6002 also where the generation is not in the history.
	 */
	async rollback(generation: number, origin: ChangeOrigin = {}): Promise<Configuration> {
		return this.#propose(origin, async stored => {
			const current = splitSections(stored.text);
			const sections = await this.#sectionsAt(generation, stored);
			const changes = compareSections(current, sections);
			return changes.length === 0 ? {kind: 'unchanged'} : {kind: 'accepted', changes, sections};
		});
	}

	/** The newest changes, newest first. */
	async history(limit: number): Promise<HistoryEntry[]> {
		const generation = await this.#journal.generation();
		const entries = await this.#journal.history(Math.max(0, generation - limit));
		return entries.toReversed();
	}

	/** What differs between two generations. */
	async difference(from: number, to: number): Promise<SectionChange[]> {
		const stored = await this.#journal.document();
		return compareSections(await this.#sectionsAt(from, stored), await this.#sectionsAt(to, stored));
	}

	/** Takes a configuration that another instance has in force, if it is newer. */
	offer(generation: number, text: string): void {
		if (generation > this.#generation) {
			this.#take({configuration: parseConfiguration(text, generation), text});
		}
	}

	get #generation(): number {
		return this.#current?.configuration.generation ?? 0;
	}

	/** Certifies and writes until the change is accepted, refused or the time is over. */
	async #propose(origin: ChangeOrigin, proposal: Proposal): Promise<Configuration> {
		const changeId = origin.changeId ?? ulid();
		const deadline = performance.now() + applyTimeout;
		const backoff = new Backoff();
		let mayHaveRun = false;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const outcome = await this.#attempt({...origin, changeId}, proposal).catch(retriableError);
			if (outcome !== undefined && !(outcome instanceof CarobquayError)) {
				return outcome;
			}

			mayHaveRun ||= outcome?.code === '5002';
			if (performance.now() >= deadline) {
				throw mayHaveRun ? unknownOutcome(changeId) : (outcome ?? new CarobquayError('5003', {message: 'other changes were accepted first each time; this one was not'}));
			}

			await sleep(backoff.next()); // eslint-disable-line no-await-in-loop
		}
	}

	/** @returns undefined where another change came between; it may be tried again. */
	async #attempt(origin: Required<Pick<ChangeOrigin, 'changeId'>> & ChangeOrigin, proposal: Proposal): Promise<Configuration | undefined> {
		const {changeId, operator = ''} = origin;
		const stored = await this.#journal.document();
		const before = await this.#journal.accepted(changeId);
		if (before !== undefined) {
			return this.#accept(stored, before);
		}

		const certification = await proposal(stored);
		if (certification.kind === 'conflict') {
			throw lostTo(certification);
		}

		if (certification.kind === 'unchanged') {
			return this.#accept(stored, stored.generation);
		}

		const generation = stored.generation + 1;
		const text = joinSections(certification.sections);
		const configuration = parseConfiguration(text, generation);
		const entry = {
			generation, changeId, operator, acceptedAt: Date.now(), changes: certification.changes,
		};
		if (!await this.#journal.commit(entry, text, stored.version)) {
			return undefined;
		}

		this.#options.log.info('configuration.accepted', {
			generation, change: changeId, operator, sections: entry.changes.length,
		});
		this.#take({configuration, text});
		return configuration;
	}

	/** Takes the stored document and tells under which generation a change is part of it. */
	#accept(stored: StoredDocument, generation: number): Configuration {
		const configuration = parseConfiguration(stored.text, stored.generation);
		this.#take({configuration, text: stored.text});
		return {...configuration, generation};
	}

	/** All changes after a generation. */
	async #since(generation: number): Promise<HistoryEntry[]> {
		const entries: HistoryEntry[] = [];
		for (;;) {
			const page = await this.#journal.history(entries.at(-1)?.generation ?? generation); // eslint-disable-line no-await-in-loop
			entries.push(...page);
			if (page.length === 0) {
				break;
			}
		}

		if (entries.length > 0 && entries[0]!.generation !== generation + 1) {
			throw new CarobquayError('6002', {message: `generation ${generation} is no longer in the history`});
		}

		return entries;
	}

	async #sectionsAt(generation: number, stored: StoredDocument) {
		if (generation > stored.generation || generation < 0) {
			throw new CarobquayError('6002', {message: `generation ${generation} does not exist; the newest is ${stored.generation}`});
		}

		// Changes accepted after the document was read are no part of it.
		const entries = await this.#since(generation);
		let sections = splitSections(stored.text);
		for (const {changes} of entries.filter(entry => entry.generation <= stored.generation).toReversed()) {
			sections = changeSections(sections, invertChanges(changes));
		}

		return sections;
	}

	async #poll(): Promise<void> {
		try {
			const newest = await this.#journal.generation();
			if (newest > this.#generation) {
				const {generation, text} = await this.#journal.document();
				this.offer(generation, text);
			}

			this.#isReadable = true;
		} catch (error) {
			if (this.#isReadable) {
				this.#options.log.warn('configuration.unreadable', {error: errorMessage(error)});
			}

			this.#isReadable = false;
		}

		if (!this.#stopped) {
			this.#timer = setTimeout(() => {
				void this.#poll();
			}, this.#options.pollInterval * (1 - jitter + (2 * jitter * Math.random())));
		}
	}

	#take(accepted: AcceptedConfiguration): void {
		if (accepted.configuration.generation <= this.#generation) {
			return;
		}

		this.#current = accepted;
		this.#options.log.info('configuration.in-force', {generation: accepted.configuration.generation});
		this.#options.onChange(accepted);
	}
}

/** Codes of the table after which a change is tried again. */
const retriableCodes: ReadonlySet<string> = new Set(['5001', '5002', '5003']);

/** @returns an error after which a change may be tried again under its id; throws any other. */
function retriableError(error: unknown): CarobquayError {
	if (error instanceof CarobquayError && retriableCodes.has(error.code)) {
		return error;
	}

	throw error;
}

function lostTo({section, lostTo: {generation, operator, changeId}}: Extract<Certification, {kind: 'conflict'}>): CarobquayError {
	const by = operator === '' ? '' : ` by ${operator}`;
	return new CarobquayError('6002', {message: `section [${section}] was changed first${by}, accepted as generation ${generation} (change ${changeId})`});
}

function unknownOutcome(changeId: string): CarobquayError {
	return new CarobquayError('5002', {message: `whether change ${changeId} was accepted is not known; send it again with the same id`});
}
