/**
 * Estimates how many answer tokens a request of a class will use and how long they take.
 *
 * @module
 */

/** Weight of one answer against all before it. */
const answerWeight = 0.05;

/** Mean deviations by which an estimate lies above the mean. */
const cautiousDeviations = 2;

/** Answers of a class after which its estimate is trusted. */
const trustedAnswers = 20;

/** Time in milliseconds between tokens before the first observation. */
const initialTokenInterval = 40;

/** Longest time in milliseconds between tokens that counts as decoding. */
const longestTokenInterval = 1000;

/** Weight of one interval between tokens against all before it. */
const intervalWeight = 0.02;

type ClassAnswers = {mean: number; deviation: number; count: number};

/** Lengths of answers by class and the time between tokens. */
export class AnswerEstimate {
	readonly #classes = new Map<string, ClassAnswers>();
	#tokenInterval = initialTokenInterval;

	/** Answer tokens that a request of a class hardly exceeds. */
	tokens(requestClass: string, maximum: number): number {
		const known = this.#classes.get(requestClass);
		return known && known.count >= trustedAnswers
			? Math.min(maximum, Math.ceil(known.mean + (cautiousDeviations * known.deviation)))
			: maximum;
	}

	/** Time in milliseconds from the first token of so many to the last. */
	duration(tokens: number): number {
		return tokens * this.#tokenInterval;
	}

	/** Takes in the length of an answer. */
	observeAnswer(requestClass: string, tokens: number): void {
		const known = this.#classes.get(requestClass) ?? {mean: tokens, deviation: 0, count: 0};
		const weight = Math.max(answerWeight, 1 / (known.count + 1));
		const error = tokens - known.mean;
		this.#classes.set(requestClass, {
			mean: known.mean + (weight * error),
			deviation: known.deviation + (weight * (Math.abs(error) - known.deviation)),
			count: known.count + 1,
		});
	}

	/** Takes in the time between two tokens of one answer. */
	observeInterval(interval: number): void {
		this.#tokenInterval += intervalWeight * (Math.min(interval, longestTokenInterval) - this.#tokenInterval);
	}
}
