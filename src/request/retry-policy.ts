/**
 * Decides on every further attempt of every request of one instance; no other layer retries.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {match} from 'ts-pattern';
import type {ErrorCode} from '../errors/catalogue.js';
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import {CircuitBreaker} from '../upstream/circuit-breaker.js';
import type {RequestLifecycle} from './request-lifecycle.js';
import {RetryBudgets} from './retry-budget.js';
import {delayOrThrow} from './time-limit.js';

/** Attempts of one request that were sent. */
const maximumAttempts = 3;

/** Upstreams tried for one request, those included to which nothing was sent. */
const maximumUpstreamsTried = 8;

/** Longest wait in milliseconds before the second attempt; doubles with each further one. */
const initialBackoff = 50;

/** Greatest number of circuits kept for upstreams that may have gone. */
const maximumCircuitBreakers = 1000;

const retryableErrorCodes: ReadonlySet<ErrorCode> = new Set(['4002', '4003', '4004', '4005']);

/** A request whose attempt failed. */
export type FailedAttempt = {
	lifecycle: RequestLifecycle;
	pool: string;
	error: CarobquayError;
	/** Upstreams tried so far. */
	upstreamsTried: number;
};

/** Retry budgets and circuits of one instance. */
export class RetryPolicy {
	readonly #budgets = new RetryBudgets();
	readonly #circuitBreakers = new Map<string, CircuitBreaker>();

	/**
	 * Checks the upstream's circuit before an attempt.
	 *
	 * @throws {CarobquayError} 4002 where the circuit is open; nothing was sent then.
	 */
	checkCircuitBreaker(upstream: string): void {
		if (!this.#circuitBreakerOf(upstream).tryAcquirePermission(performance.now())) {
			throw new CarobquayError('4002', {message: `circuit of upstream "${upstream}" is open after repeated failures`});
		}
	}

	/** Counts an attempt that is about to be sent. */
	recordAttempt(life: RequestLifecycle, pool: string): void {
		if (life.attempt === 0) {
			this.#budgets.recordRequest(life.metadata.customer, pool);
		}
	}

	/** The upstream took the request. */
	recordSuccess(upstream: string): void {
		this.#circuitBreakerOf(upstream).recordSuccess();
	}

	/** Tells the upstream's circuit how an attempt failed that was let through. */
	recordFailure(upstream: string, code: ErrorCode): void {
		const circuit = this.#circuitBreakerOf(upstream);
		match(code)
			.with('4002', '4003', '4004', () => {
				circuit.recordFailure(performance.now());
			})
			.otherwise(() => {
				circuit.recordInconclusive(performance.now());
			});
	}

	/**
	 * Waits with jitter until the next attempt may be made.
	 *
	 * @throws {CarobquayError} The failure itself, with the truth about whether the request ran, where there may be none;
	 * the signal's reason where it aborts first.
	 */
	async waitBeforeRetry({lifecycle: life, pool, error, upstreamsTried: tried}: FailedAttempt, signal: AbortSignal): Promise<void> {
		if (signal.aborted) {
			throw withExecutionStatus(toCarobquayError(signal.reason, life.ran), life);
		}

		const mayRetry = retryableErrorCodes.has(error.code) && life.canBeginAttempt && life.attempt < maximumAttempts && tried < maximumUpstreamsTried;
		if (!mayRetry || !this.#budgets.tryConsumeRetry(life.metadata.customer, pool)) {
			throw withExecutionStatus(error, life);
		}

		try {
			await delayOrThrow(Math.random() * initialBackoff * (2 ** (tried - 1)), signal);
		} catch (error_) {
			throw withExecutionStatus(toCarobquayError(error_, life.ran), life);
		}
	}

	#circuitBreakerOf(upstream: string): CircuitBreaker {
		const circuit = this.#circuitBreakers.get(upstream) ?? new CircuitBreaker();
		this.#circuitBreakers.delete(upstream);
		this.#circuitBreakers.set(upstream, circuit);
		if (this.#circuitBreakers.size > maximumCircuitBreakers) {
			const [oldest] = this.#circuitBreakers.keys();
			this.#circuitBreakers.delete(oldest!);
		}

		return circuit;
	}
}

/** An error with the truth about whether the request ran in any of its attempts. */
export function withExecutionStatus(error: CarobquayError, life: RequestLifecycle): CarobquayError {
	// These speak of another request with the same idempotency key.
	if (error.code === '4007' || error.code === '4008') {
		return error;
	}

	return new CarobquayError(error.code, {
		message: error.message, ran: life.ran, retryAfter: error.retryAfter, cause: error,
	});
}
