/**
 * Decides whether and when a failed attempt is retried, for all requests of one instance.
 *
 * No other layer retries.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {match} from 'ts-pattern';
import type {ErrorCode} from '../errors/catalogue.js';
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import {CircuitBreaker, type CircuitPermission} from '../upstream/circuit-breaker.js';
import type {RequestLifecycle} from './request-lifecycle.js';
import {RetryBudgets} from './retry-budget.js';
import {delayOrThrow} from './time-limit.js';

/** Maximum number of attempts sent for one request. */
const maximumAttempts = 3;

/** Maximum number of upstreams tried for one request, including those to which nothing was sent. */
const maximumUpstreamsTried = 8;

/** Maximum random delay in milliseconds before the second upstream is tried; doubles with each further upstream. */
const initialBackoff = 50;

/** Maximum number of circuit breakers kept; bounds those of upstreams that may no longer exist. */
const maximumCircuitBreakers = 1000;

const retryableErrorCodes: ReadonlySet<ErrorCode> = new Set(['4002', '4003', '4004', '4005']);

/** A failed attempt and the request that it belongs to. */
export type FailedAttempt = {
	lifecycle: RequestLifecycle;
	pool: string;
	error: CarobquayError;
	/** Number of upstreams tried so far. */
	upstreamsTried: number;
};

/** Permission of an upstream's circuit breaker to send one attempt. */
export type AttemptPermission = {circuitBreaker: CircuitBreaker; permission: CircuitPermission};

/** Retry budgets and circuit breakers of one instance. */
export class RetryPolicy {
	readonly #budgets = new RetryBudgets();
	readonly #circuitBreakers = new Map<string, CircuitBreaker>();

	/**
	 * Asks the circuit breaker of an upstream before an attempt is sent. The outcome of the attempt is recorded with the permission.
	 *
	 * @throws {CarobquayError} 4002 if the circuit is open; nothing is sent in that case.
	 */
	acquirePermission(upstream: string): AttemptPermission {
		const circuitBreaker = this.#circuitBreakerOf(upstream);
		const permission = circuitBreaker.tryAcquirePermission(performance.now());
		if (!permission) {
			throw new CarobquayError('4002', {message: `circuit breaker of upstream "${upstream}" is open after repeated failures`});
		}

		return {circuitBreaker, permission};
	}

	/** Records an attempt that is about to be sent; the first attempt of a request adds to its retry budget. */
	recordAttempt(lifecycle: RequestLifecycle, pool: string): void {
		if (lifecycle.attempt === 0) {
			this.#budgets.recordRequest(lifecycle.metadata.customer, pool);
		}
	}

	/** Records that the upstream accepted the request. */
	recordSuccess({circuitBreaker, permission}: AttemptPermission): void {
		circuitBreaker.recordSuccess(permission);
	}

	/** Records the failure of a permitted attempt. @param code - Its error code; undefined if it was not sent. */
	recordFailure({circuitBreaker, permission}: AttemptPermission, code: ErrorCode | undefined): void {
		match(code)
			.with('4002', '4003', '4004', () => {
				circuitBreaker.recordFailure(permission, performance.now());
			})
			.otherwise(() => {
				circuitBreaker.recordInconclusive(permission, performance.now());
			});
	}

	/**
	 * Waits for an exponential backoff with jitter before the next attempt.
	 *
	 * @throws {CarobquayError} The failure of the attempt, with the execution status of the request, if no further attempt
	 * is permitted; the abort reason if the signal aborts first.
	 */
	async waitBeforeRetry({lifecycle, pool, error, upstreamsTried}: FailedAttempt, signal: AbortSignal): Promise<void> {
		if (signal.aborted) {
			throw withExecutionStatus(toCarobquayError(signal.reason, lifecycle.ran), lifecycle);
		}

		const canRetry = retryableErrorCodes.has(error.code) && lifecycle.canBeginAttempt && lifecycle.attempt < maximumAttempts && upstreamsTried < maximumUpstreamsTried;
		if (!canRetry || !this.#budgets.tryConsumeRetry(lifecycle.metadata.customer, pool)) {
			throw withExecutionStatus(error, lifecycle);
		}

		try {
			await delayOrThrow(Math.random() * initialBackoff * (2 ** (upstreamsTried - 1)), signal);
		} catch (error_) {
			throw withExecutionStatus(toCarobquayError(error_, lifecycle.ran), lifecycle);
		}
	}

	#circuitBreakerOf(upstream: string): CircuitBreaker {
		const circuitBreaker = this.#circuitBreakers.get(upstream) ?? new CircuitBreaker();
		this.#circuitBreakers.delete(upstream);
		this.#circuitBreakers.set(upstream, circuitBreaker);
		if (this.#circuitBreakers.size > maximumCircuitBreakers) {
			const [leastRecentlyUsed] = this.#circuitBreakers.keys();
			this.#circuitBreakers.delete(leastRecentlyUsed!);
		}

		return circuitBreaker;
	}
}

/** Copies an error and sets its execution status to that of the request over all of its attempts. */
export function withExecutionStatus(error: CarobquayError, lifecycle: RequestLifecycle): CarobquayError {
	// 4007 and 4008 describe another request with the same idempotency key, so they are returned unchanged.
	if (error.code === '4007' || error.code === '4008') {
		return error;
	}

	return new CarobquayError(error.code, {
		message: error.message, ran: lifecycle.ran, retryAfter: error.retryAfter, cause: error,
	});
}
