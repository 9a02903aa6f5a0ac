/**
 * Runs calls of plain services: obtains a service instance from the dispatcher, calls it, and retries only if that is safe.
 *
 * @module
 */
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import type {RequestFacts, SendDecision} from '../routing/decision.js';
import type {Observation} from '../routing/observation.js';
import type {ServiceAnswer, ServiceClient, ServiceRequest} from '../upstream/service.js';
import type {Dispatcher} from './dispatcher.js';
import type {RequestLifecycle} from './request-lifecycle.js';
import {type AttemptPermission, type RetryPolicy, withExecutionStatus} from './retry-policy.js';
import type {SendPermit} from './send-permit.js';

export type ServiceRunnerOptions = {
	dispatcher: Dispatcher;
	retryPolicy: RetryPolicy;
	/** Finds the client of a service instance; returns undefined once the instance is no longer listed. */
	findService: (name: string) => ServiceClient | undefined;
};

/** A service call to run. */
export type ServiceCall = {
	lifecycle: RequestLifecycle;
	facts: Omit<RequestFacts, 'excluded'>;
	call: Pick<ServiceRequest, 'method' | 'path' | 'contentType' | 'body'>;
	/**
	 * Permit to obtain before the call is sent.
	 * @default undefined: the call needs no permit
	 */
	permit?: SendPermit | undefined;
};

/** Runs the service calls of one instance. */
export class ServiceRunner {
	readonly #options: ServiceRunnerOptions;

	constructor(options: ServiceRunnerOptions) {
		this.#options = options;
	}

	/**
	 * Runs a call and returns the complete answer.
	 *
	 * @throws {CarobquayError} whose `ran` says whether the call ran in any of its attempts.
	 */
	async run(request: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
		try {
			return await this.#runAttempts(request, signal);
		} catch (error) {
			throw withExecutionStatus(toCarobquayError(error, request.lifecycle.ran), request.lifecycle);
		} finally {
			request.lifecycle.end();
		}
	}

	async #runAttempts(request: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
		const {lifecycle} = request;
		const excluded: string[] = [];
		for (;;) {
			const facts: RequestFacts = {...request.facts, excluded};
			// eslint-disable-next-line no-await-in-loop
			const dispatch = await this.#options.dispatcher.awaitDecision(facts, signal, () => {
				lifecycle.admit();
				lifecycle.markWaiting();
			});
			lifecycle.admit();
			if ('kind' in dispatch) {
				throw new CarobquayError('5900', {message: 'the router decided to divide a service call, which cannot be divided', ran: 'no'});
			}

			try {
				// eslint-disable-next-line no-await-in-loop
				return await this.#runAttempt(request, dispatch.decision, signal);
			} catch (error) {
				excluded.push(dispatch.decision.upstream);
				// eslint-disable-next-line no-await-in-loop
				await this.#options.retryPolicy.waitBeforeRetry({
					lifecycle, pool: dispatch.decision.pool, error: toCarobquayError(error, lifecycle.ran), upstreamsTried: excluded.length,
				}, signal);
				lifecycle.markWaiting();
			}
		}
	}

	async #runAttempt({lifecycle, call, permit}: ServiceCall, {upstream, pool}: SendDecision, signal: AbortSignal): Promise<ServiceAnswer> {
		const {requestId, idempotencyKey} = lifecycle.metadata;
		const client = this.#options.findService(upstream);
		let attempt = 0;
		let permission: AttemptPermission | undefined;
		try {
			if (client === undefined) {
				throw new CarobquayError('4002', {message: `service instance "${upstream}" is no longer listed`});
			}

			await permit?.acquire();
			permission = this.#options.retryPolicy.acquirePermission(upstream);
			this.#options.retryPolicy.recordAttempt(lifecycle, pool);
			attempt = lifecycle.beginAttempt();
			this.#observe({kind: 'sent', requestId, upstream});
			const answer = await client.call({
				...call, requestId, attempt, timeRemaining: lifecycle.timeRemaining, idempotencyKey,
			}, signal);
			lifecycle.beginStreaming();
			this.#options.retryPolicy.recordSuccess(permission);
			this.#observe({
				kind: 'ended', requestId, outcome: 'finished', usage: undefined,
			});
			return answer;
		} catch (error) {
			const failure = toCarobquayError(error, 'unknown');
			if (permission) {
				this.#options.retryPolicy.recordFailure(permission, attempt > 0 ? failure.code : undefined);
			}

			if (attempt > 0 && failure.ran === 'no') {
				lifecycle.markAttemptNotRun();
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
