/**
 * Runs one call of a plain service: chooses an instance, calls it, tries again only where that is safe.
 *
 * @module
 */
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import type {RequestFacts, SendDecision} from '../routing/decision.js';
import type {Observation} from '../routing/observation.js';
import type {ServiceAnswer, ServiceClient, ServiceRequest} from '../upstream/service.js';
import type {Dispatcher} from './dispatcher.js';
import type {RequestLife} from './life.js';
import {type RetryPolicy, withExecutionStatus} from './retry-policy.js';
import type {SendPermit} from './send-permit.js';

/** What the runner works with. */
export type ServiceRunnerOptions = {
	dispatcher: Dispatcher;
	retries: RetryPolicy;
	/** Finds the client of a service instance; undefined once it has gone. */
	service: (name: string) => ServiceClient | undefined;
};

/** A call to make. */
export type ServiceCall = {
	life: RequestLife;
	facts: Omit<RequestFacts, 'excluded'>;
	call: Pick<ServiceRequest, 'method' | 'path' | 'contentType' | 'body'>;
	/**
	 * Leave to send, where the call needs one.
	 * @default undefined: it may be sent
	 */
	permit?: SendPermit | undefined;
};

/** Runs calls of plain services. */
export class ServiceRunner {
	readonly #options: ServiceRunnerOptions;

	constructor(options: ServiceRunnerOptions) {
		this.#options = options;
	}

	/**
	 * Makes a call and returns its whole answer.
	 *
	 * @throws {CarobquayError} with the truth about whether the call ran.
	 */
	async run(request: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
		try {
			return await this.#attempts(request, signal);
		} catch (error) {
			throw withExecutionStatus(toCarobquayError(error, request.life.ran), request.life);
		} finally {
			request.life.end();
		}
	}

	async #attempts(request: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
		const {life} = request;
		const excluded: string[] = [];
		for (;;) {
			const facts: RequestFacts = {...request.facts, excluded};
			// eslint-disable-next-line no-await-in-loop
			const dispatch = await this.#options.dispatcher.choose(facts, signal, () => {
				life.admit();
				life.wait();
			});
			life.admit();
			if ('kind' in dispatch) {
				throw new CarobquayError('5900', {message: 'a call of a service cannot be divided', ran: 'no'});
			}

			try {
				// eslint-disable-next-line no-await-in-loop
				return await this.#attempt(request, dispatch.decision, signal);
			} catch (error) {
				excluded.push(dispatch.decision.upstream);
				// eslint-disable-next-line no-await-in-loop
				await this.#options.retries.waitBeforeRetry({
					lifecycle: life, pool: dispatch.decision.pool, error: toCarobquayError(error, life.ran), upstreamsTried: excluded.length,
				}, signal);
				life.wait();
			}
		}
	}

	async #attempt({life, call, permit}: ServiceCall, {upstream, pool}: SendDecision, signal: AbortSignal): Promise<ServiceAnswer> {
		const {requestId, idempotencyKey} = life.terms;
		const client = this.#options.service(upstream);
		let attempt = 0;
		try {
			if (client === undefined) {
				throw new CarobquayError('4002', {message: `service instance "${upstream}" has gone`});
			}

			await permit?.acquire();
			this.#options.retries.checkCircuitBreaker(upstream);
			this.#options.retries.recordAttempt(life, pool);
			attempt = life.beginAttempt();
			this.#observe({kind: 'sent', requestId, upstream});
			const answer = await client.call({
				...call, requestId, attempt, timeRemaining: life.remaining, idempotencyKey,
			}, signal);
			life.beginStreaming();
			this.#options.retries.recordSuccess(upstream);
			this.#observe({
				kind: 'ended', requestId, outcome: 'finished', usage: undefined,
			});
			return answer;
		} catch (error) {
			const failure = toCarobquayError(error, 'unknown');
			if (attempt > 0) {
				this.#options.retries.recordFailure(upstream, failure.code);
			}

			if (attempt > 0 && failure.ran === 'no') {
				life.attemptDidNotRun();
			}

			this.#observe({
				kind: 'ended', requestId, outcome: signal.aborted ? 'cancelled' : 'failed', usage: undefined,
			});
			throw failure;
		}
	}

	#observe(observation: Observation): void {
		this.#options.dispatcher.observe(observation);
	}
}
