/**
 * Estimates how many answer tokens a request of a class will use and how long they take.
 *
 * @module
 */

/** Weight of one answer against all before it. */
const answerSmoothingFactor = 0.05;

/** Mean deviations by which an estimate lies above the mean. */
const upperEstimateDeviations = 3;

/** Answers of a class after which its estimate is trusted. */
const minimumAnswerCount = 20;

/** Time in milliseconds between tokens before the first observation. */
const initialInterTokenLatency = 40;

/** Longest time in milliseconds between tokens that counts as decoding. */
const maximumInterTokenLatency = 1000;

/** Weight of one interval between tokens against all before it. */
const interTokenLatencySmoothingFactor = 0.02;

type RunningStatistics = {mean: number; meanAbsoluteDeviation: number; count: number};

/** Lengths of answers by class and the time between tokens. */
export class AnswerEstimator {
	readonly #tokensByClass = new Map<string, RunningStatistics>();
	readonly #durationByClass = new Map<string, RunningStatistics>();
	#interTokenLatency = initialInterTokenLatency;

	/** Answer tokens that a request of a class hardly exceeds. */
	estimateTokens(requestClass: string, maximum: number): number {
		return Math.min(maximum, Math.ceil(upperEstimate(this.#tokensByClass.get(requestClass)) ?? maximum));
	}

	/** Time in milliseconds from the first token to the last that a request of a class hardly exceeds. */
	estimateDuration(requestClass: string, tokens: number): number {
		return upperEstimate(this.#durationByClass.get(requestClass)) ?? tokens * this.#interTokenLatency;
	}

	/** Takes in an answer's length and the time in milliseconds from its first token to its last. */
	observeAnswer(requestClass: string, tokens: number, duration: number): void {
		this.#tokensByClass.set(requestClass, updateStatistics(this.#tokensByClass.get(requestClass), tokens));
		this.#durationByClass.set(requestClass, updateStatistics(this.#durationByClass.get(requestClass), duration));
	}

	/** Takes in the time between two tokens of one answer. */
	observeInterTokenLatency(interTokenLatency: number): void {
		this.#interTokenLatency += interTokenLatencySmoothingFactor * (Math.min(interTokenLatency, maximumInterTokenLatency) - this.#interTokenLatency);
	}
}

function upperEstimate(statistics: RunningStatistics | undefined): number | undefined {
	return statistics && statistics.count >= minimumAnswerCount ? statistics.mean + (upperEstimateDeviations * statistics.meanAbsoluteDeviation) : undefined;
}

function updateStatistics(known: RunningStatistics | undefined, value: number): RunningStatistics {
	const {mean, meanAbsoluteDeviation: deviation, count} = known ?? {mean: value, meanAbsoluteDeviation: 0, count: 0};
	const weight = Math.max(answerSmoothingFactor, 1 / (count + 1));
	const error = value - mean;
	return {mean: mean + (weight * error), meanAbsoluteDeviation: deviation + (weight * (Math.abs(error) - deviation)), count: count + 1};
}
