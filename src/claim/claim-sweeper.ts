/**
 * Task that deletes claims whose time is over, with the answers kept for them.
 *
 * @module
 */
import {CarobquayError, errorMessage} from '../errors/errors.js';
import type {TableItem, TableService} from '../platform/table.js';
import type {EventLog} from '../telemetry/log.js';
import {parseClaim} from './claim.js';
import type {Committer} from './claim-store.js';
import type {KeptAnswers} from './kept-answers.js';

/** Claims read at once. */
const pageSize = 200;

/** Time in milliseconds between two pages. */
const pageInterval = 1000;

/** Time in milliseconds between the end of the claims and their beginning. */
const roundInterval = 60_000;

/** Share of an interval by which it is spread, so that instances do not sweep in step. */
const jitter = 0.5;

export type ClaimSweeperOptions = {
	table: Pick<TableService, 'list'>;
	committer: Committer;
	answers: Pick<KeptAnswers, 'forget'>;
	log: EventLog;
};

/** Goes through all claims, page by page, again and again. */
export class ClaimSweeper {
	readonly #options: ClaimSweeperOptions;
	#after = '';
	#timer: NodeJS.Timeout | undefined;

	constructor(options: ClaimSweeperOptions) {
		this.#options = options;
	}

	start(): void {
		this.#schedule(roundInterval);
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#schedule(interval: number): void {
		this.#timer = setTimeout(() => {
			void this.#sweep();
		}, interval * (1 - (jitter * Math.random())));
	}

	async #sweep(): Promise<void> {
		let isLastPage = true;
		try {
			const page = await this.#options.table.list('claim/', {after: this.#after, limit: pageSize});
			isLastPage = page.length < pageSize;
			await Promise.all(page.map(async item => this.#deleteExpired(item)));
			this.#after = isLastPage ? '' : page.at(-1)!.key;
		} catch (error) {
			this.#options.log.debug('claim.sweep-failed', {error: errorMessage(error)});
		}

		if (this.#timer !== undefined) {
			this.#schedule(isLastPage ? roundInterval : pageInterval);
		}
	}

	/** Deletes the answer first: a claim without its answer is reported, an answer without its claim would stay. */
	async #deleteExpired({key, version, value}: TableItem): Promise<void> {
		const {expiresAt, ending} = parseClaim(value);
		if (Date.now() < expiresAt) {
			return;
		}

		if (ending?.outcome === 'answered') {
			await this.#options.answers.forget(ending.answer);
		}

		const {outcome} = await this.#options.committer.submit({conditions: [{key, version}], writes: [{kind: 'delete', key}]});
		if (outcome === 'refused' || outcome === 'unknown') {
			throw new CarobquayError('5001', {message: `claim "${key}" could not be deleted`});
		}
	}
}
