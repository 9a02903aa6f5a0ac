/**
 * Estimates how many answer tokens a request of a class will use and how long they take.
 *
 * @module
 */

/** Weight of one answer against all before it. */
const answerWeight = 0.05;

/** Mean deviations by which an estimate lies above the mean. */
const cautiousDeviations = 3;

/** Answers of a class after which its estimate is trusted. */
const trustedAnswers = 20;

/** Time in milliseconds between tokens before the first observation. */
const initialTokenInterval = 40;

/** Longest time in milliseconds between tokens that counts as decoding. */
const longestTokenInterval = 1000;

/** Weight of one interval between tokens against all before it. */
const intervalWeight = 0.02;

type Spread = {mean: number; deviation: number; count: number};

/** Lengths of answers by class and the time between tokens. */
export class AnswerEstimate {
	readonly #tokens = new Map<string, Spread>();
	readonly #durations = new Map<string, Spread>();
	#tokenInterval = initialTokenInterval;

	/** Answer tokens that a request of a class hardly exceeds. */
	tokens(requestClass: string, maximum: number): number {
		return Math.min(maximum, Math.ceil(cautious(this.#tokens.get(requestClass)) ?? maximum));
	}

	/** Time in milliseconds from the first token to the last that a request of a class hardly exceeds. */
	duration(requestClass: string, tokens: number): number {
		return cautious(this.#durations.get(requestClass)) ?? tokens * this.#tokenInterval;
	}

	/** Takes in an answer's length and the time in milliseconds from its first token to its last. */
	observeAnswer(requestClass: string, tokens: number, duration: number): void {
		this.#tokens.set(requestClass, updated(this.#tokens.get(requestClass), tokens));
		this.#durations.set(requestClass, updated(this.#durations.get(requestClass), duration));
	}

	/** Takes in the time between two tokens of one answer. */
	observeInterval(interval: number): void {
		this.#tokenInterval += intervalWeight * (Math.min(interval, longestTokenInterval) - this.#tokenInterval);
	}
}

function cautious(spread: Spread | undefined): number | undefined {
	return spread && spread.count >= trustedAnswers ? spread.mean + (cautiousDeviations * spread.deviation) : undefined;
}

function updated(known: Spread | undefined, value: number): Spread {
	const {mean, deviation, count} = known ?? {mean: value, deviation: 0, count: 0};
	const weight = Math.max(answerWeight, 1 / (count + 1));
	const error = value - mean;
	return {mean: mean + (weight * error), deviation: deviation + (weight * (Math.abs(error) - deviation)), count: count + 1};
}
