/**
 * Estimates the number of answer tokens of a request and the time to decode them, by request class.
 *
 * @module
 */

/** Weight of a new answer in the moving averages of its class. */
const answerSmoothingFactor = 0.05;

/** Number of mean absolute deviations that an upper estimate adds to the mean. */
const upperEstimateDeviations = 3;

/** Answers of a class that must have been observed before its statistics are used. */
const minimumAnswerCount = 20;

/** Inter-token latency in milliseconds assumed before the first observation. */
const initialInterTokenLatency = 40;

/** Upper bound in milliseconds of an observed inter-token latency; time beyond it does not count as decoding. */
const maximumInterTokenLatency = 1000;

/** Weight of a new inter-token latency in its moving average. */
const interTokenLatencySmoothingFactor = 0.02;

/** Exponentially weighted mean and mean absolute deviation, and the number of values seen. */
type RunningStatistics = {mean: number; meanAbsoluteDeviation: number; count: number};

/** Moving averages of answer lengths and durations by class, and of the inter-token latency over all classes. */
export class AnswerEstimator {
	readonly #tokensByClass = new Map<string, RunningStatistics>();
	readonly #durationByClass = new Map<string, RunningStatistics>();
	#interTokenLatency = initialInterTokenLatency;

	/** Upper estimate of a request's answer tokens, at most `maximum`. */
	estimateTokens(requestClass: string, maximum: number): number {
		return Math.min(maximum, Math.ceil(upperEstimate(this.#tokensByClass.get(requestClass)) ?? maximum));
	}

	/** Upper estimate in milliseconds of the time between a request's first and last answer token. */
	estimateDuration(requestClass: string, tokens: number): number {
		return upperEstimate(this.#durationByClass.get(requestClass)) ?? tokens * this.#interTokenLatency;
	}

	/** Records an answer's length and the time in milliseconds from its first token to its last. */
	observeAnswer(requestClass: string, tokens: number, duration: number): void {
		this.#tokensByClass.set(requestClass, updateStatistics(this.#tokensByClass.get(requestClass), tokens));
		this.#durationByClass.set(requestClass, updateStatistics(this.#durationByClass.get(requestClass), duration));
	}

	/** Records the time in milliseconds between two consecutive tokens of one answer. */
	observeInterTokenLatency(interTokenLatency: number): void {
		this.#interTokenLatency += interTokenLatencySmoothingFactor * (Math.min(interTokenLatency, maximumInterTokenLatency) - this.#interTokenLatency);
	}
}

function upperEstimate(statistics: RunningStatistics | undefined): number | undefined {
	return statistics && statistics.count >= minimumAnswerCount ? statistics.mean + (upperEstimateDeviations * statistics.meanAbsoluteDeviation) : undefined;
}

function updateStatistics(known: RunningStatistics | undefined, value: number): RunningStatistics {
	const {mean, meanAbsoluteDeviation, count} = known ?? {mean: value, meanAbsoluteDeviation: 0, count: 0};
	const weight = Math.max(answerSmoothingFactor, 1 / (count + 1));
	const error = value - mean;
	return {mean: mean + (weight * error), meanAbsoluteDeviation: meanAbsoluteDeviation + (weight * (Math.abs(error) - meanAbsoluteDeviation)), count: count + 1};
}
