/**
 * Runs non-idempotent requests with an idempotency key under a claim, so that they run at most once in the whole fleet.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import type {RequestLifecycle} from '../request/request-lifecycle.js';
import type {SendPermit} from '../request/send-permit.js';
import {untilAborted} from '../request/time-limit.js';
import type {EventLog} from '../telemetry/log.js';
import {claimKey, type ClaimEnding, type ClaimRequest} from './claim.js';
import type {ClaimStore, HeldClaim} from './claim-store.js';
import type {KeptAnswer, KeptAnswers} from './kept-answers.js';

export type ClaimedRequestsOptions = {
	store: ClaimStore;
	answers: KeptAnswers;
	/** Instance and incarnation of this process. */
	owner: string;
	log: EventLog;
};

/** A request that may need a claim. */
export type ClaimableRequest = {
	life: RequestLifecycle;
	/** All that makes two requests the same, such as method, path and body. */
	content: ReadonlyArray<string | Uint8Array>;
	/** Aborts at the request's deadline. */
	deadline: AbortSignal;
	/** Aborts where the caller has left. */
	callerLeft: AbortSignal;
};

/** Sends the request; under a permit, returns its whole answer in the form to keep. */
export type Execution = (permit: SendPermit | undefined, signal: AbortSignal) => Promise<KeptAnswer | undefined>;

/** How an answer came about. */
export type ClaimedAnswer = {
	/** Undefined for a request that needed no claim. */
	answer: KeptAnswer | undefined;
	/** Whether an earlier request got it. */
	kept: boolean;
};

/** Runs requests at most once where they ask for it. */
export class ClaimedRequests {
	readonly #options: ClaimedRequestsOptions;

	constructor(options: ClaimedRequestsOptions) {
		this.#options = options;
	}

	/**
	 * Runs a request, or returns the answer that an earlier one with the same key got.
	 *
	 * A claimed request goes on when its caller leaves, so that the caller may ask again for the answer.
	 *
	 * @throws {CarobquayError} 1011, 4007, 4008 or 5001, or what the execution throws.
	 */
	async run(request: ClaimableRequest, execute: Execution): Promise<ClaimedAnswer> {
		const {nonIdempotent, idempotencyKey, customer} = request.life.metadata;
		if (!nonIdempotent || idempotencyKey === undefined) {
			return {answer: await execute(undefined, AbortSignal.any([request.deadline, request.callerLeft])), kept: false};
		}

		const held = await this.#claim(request, claimKey(customer, idempotencyKey));
		if ('kind' in held) {
			return {answer: held, kept: true};
		}

		return {answer: await this.#execute(request, held, execute), kept: false};
	}

	async #claim({life, content, deadline}: ClaimableRequest, key: string): Promise<HeldClaim | KeptAnswer> {
		const asked: ClaimRequest = {
			bodyHash: hashContent(content), owner: this.#options.owner, requestId: life.metadata.requestId, deadline: Date.now() + life.timeRemaining,
		};
		try {
			const claiming = this.#options.store.claim(key, asked);
			this.#abandonLate(claiming, deadline);
			const result = await untilAborted(claiming, deadline, 'no');
			if (result.kind === 'held') {
				life.markClaimed();
				return result.claim;
			}

			const answer = await untilAborted(this.#options.answers.fetch(result.answer), deadline, 'yes');
			life.endWithReplayedAnswer();
			return answer;
		} catch (error) {
			life.end();
			throw error;
		}
	}

	async #execute(request: ClaimableRequest, claim: HeldClaim, execute: Execution): Promise<KeptAnswer | undefined> {
		const permit = new ClaimPermit(this.#options.store, claim, request);
		let ending: ClaimEnding = {outcome: 'not-run'};
		try {
			const answer = await execute(permit, request.deadline);
			ending = {outcome: 'answered', answer: answer ? await this.#options.answers.keep(answer, claim.record) : {place: 'lost'}};
			return answer;
		} catch (error) {
			ending = endingOf(toCarobquayError(error, request.life.ran), request.life);
			throw error;
		} finally {
			this.#options.log.info('claim.ended', {
				request: claim.record.requestId, attempt: claim.record.attempt, outcome: ending.outcome,
			});
			request.life.end();
			// Where the table is slow, the caller does not wait for what only a second request would read.
			void this.#options.store.end(permit.claim, ending);
		}
	}

	/** Gives a claim back that was made after the request's deadline. */
	#abandonLate(claiming: ReturnType<ClaimStore['claim']>, deadline: AbortSignal): void {
		claiming.then(result => {
			if (deadline.aborted && result.kind === 'held') {
				void this.#options.store.end(result.claim, {outcome: 'not-run'});
			}
		}, () => undefined);
	}
}

/** Leave to send under a claim: asked for once, and only before the deadline. */
class ClaimPermit implements SendPermit {
	readonly #store: ClaimStore;
	readonly #request: ClaimableRequest;
	#claim: HeldClaim;
	#obtained: Promise<void> | undefined;

	constructor(store: ClaimStore, claim: HeldClaim, request: ClaimableRequest) {
		this.#store = store;
		this.#claim = claim;
		this.#request = request;
	}

	/** The claim in the state that this process last wrote. */
	get claim(): HeldClaim {
		return this.#claim;
	}

	async acquire(): Promise<void> {
		this.#obtained ??= this.#markSent();
		await untilAborted(this.#obtained, this.#request.deadline, 'no');
	}

	async #markSent(): Promise<void> {
		const {life} = this.#request;
		this.#claim = await this.#store.markSent(this.#claim, Date.now() + life.timeRemaining);
		// The process may have been paused: past the deadline, others report the outcome as unknown.
		if (life.timeRemaining <= 0) {
			throw new CarobquayError('4001', {message: `request ${life.metadata.requestId} was not sent before its deadline`, ran: 'no'});
		}
	}
}

function endingOf(error: CarobquayError, life: RequestLifecycle): ClaimEnding {
	return life.ran === 'no'
		? {outcome: 'not-run'}
		: {
			outcome: 'failed', code: error.code, ran: life.ran, message: error.message,
		};
}

function hashContent(content: ReadonlyArray<string | Uint8Array>): string {
	const hash = createHash('sha256');
	for (const part of content) {
		hash.update(part);
	}

	return hash.digest('hex');
}
