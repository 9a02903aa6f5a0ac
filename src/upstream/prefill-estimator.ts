/**
 * Learns how long an engine's prefill takes by prompt length, and whether the engine interleaves other work with a long prefill.
 *
 * @module
 */

/** Buckets of prompt length, at half powers of two from 2^7 up to 2^21 tokens. */
const bucketCount = 29;
const firstBucketExponent = 7;

/** First bucket in which the prefill time is mostly proportional to the tokens: 2^9 tokens. */
const firstProportionalBucket = 4;

/** Prefill time in milliseconds per token assumed for short prompts before the first observation. */
const assumedTimePerToken = 0.02;

/** Context length in tokens at which a token is assumed to cost twice as much as the first one. */
const costDoublingContextTokens = 100_000;

/** Maximum ratio of an observation to the learnt value; longer ones are clipped because they may contain queueing time. */
const maximumObservationRatio = 1.5;

/** Weights of an observation below and above the learnt value. Queueing can only lengthen observations, so shorter ones weigh more. */
const decreaseWeight = 0.3;
const increaseWeight = 0.08;

/** Weight of one observation of interleaving. */
const interleavingWeight = 0.1;

/** Estimates the prefill time of one kind of engine as a function of prompt length. */
export class PrefillEstimator {
	/** Observed time relative to the assumed time, by bucket; NaN for buckets without an observation. */
	readonly #observedRatios = new Float64Array(bucketCount).fill(Number.NaN);
	/** Observed ratios, with missing ones derived from the nearest observed bucket. */
	readonly #completedRatios = new Float64Array(bucketCount).fill(1);
	#blockingFraction = 1;

	/**
	 * Fraction of a long prefill for which other requests have to wait: 1 if the engine finishes a prefill before it
	 * serves others, near 0 if it interleaves. Engines without observations are assumed to block.
	 */
	get blockingFraction(): number {
		return this.#blockingFraction;
	}

	/**
	 * Expected prefill time in milliseconds on an idle engine.
	 *
	 * @param tokens - Tokens of the whole prompt.
	 * @param cached - Leading tokens that are cached and need no prefill.
	 */
	prefillTime(tokens: number, cached = 0): number {
		const ratio = this.#completedRatios[bucketOf(tokens)]!;
		return ratio * (assumedPrefillTime(tokens) - assumedPrefillTime(Math.min(cached, tokens)));
	}

	/** Learns from the time to first token, in milliseconds, of a request that had no other prefill ahead of it. */
	observePrefill(tokens: number, cached: number, time: number): void {
		if (tokens <= cached) {
			return;
		}

		// Below the smallest bucket, most of the time is a fixed overhead and does not reflect the prefill speed.
		const assumed = Math.max(assumedPrefillTime(bucketTokens(0)), assumedPrefillTime(tokens) - assumedPrefillTime(cached));

		const bucket = bucketOf(tokens);
		const known = this.#observedRatios[bucket]!;
		const sample = Number.isNaN(known) ? time / assumed : Math.min(time / assumed, known * maximumObservationRatio);
		const weight = sample < known ? decreaseWeight : increaseWeight;
		this.#observedRatios[bucket] = Number.isNaN(known) ? sample : known + (weight * (sample - known));
		this.#completeRatios();
	}

	/** Learns from whether another stream received tokens during a long prefill. */
	observeInterleaving(hasProgressed: boolean): void {
		this.#blockingFraction += interleavingWeight * ((hasProgressed ? 0 : 1) - this.#blockingFraction);
	}

	#completeRatios(): void {
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			this.#completedRatios[bucket] = this.#nearestRatio(bucket);
		}
	}

	#nearestRatio(bucket: number): number {
		for (let distance = 0; distance < bucketCount; distance++) {
			const longer = this.#observedRatios[bucket + distance];
			const shorter = this.#observedRatios[bucket - distance];
			if (shorter !== undefined && !Number.isNaN(shorter)) {
				return extrapolateRatio(shorter, bucket - distance, bucket);
			}

			if (longer !== undefined && !Number.isNaN(longer)) {
				return longer;
			}
		}

		return 1;
	}
}

/**
 * Ratio for a bucket without observations, derived from the ratio of a bucket of shorter prompts. The time of a very short
 * prompt in excess of the assumed time is a fixed overhead, which is equally large for longer prompts.
 */
function extrapolateRatio(ratio: number, from: number, to: number): number {
	if (from >= firstProportionalBucket || ratio <= 1) {
		return ratio;
	}

	return 1 + ((ratio - 1) * assumedPrefillTime(bucketTokens(from)) / assumedPrefillTime(bucketTokens(to)));
}

function bucketTokens(bucket: number): number {
	return 2 ** (firstBucketExponent + (bucket / 2));
}

function assumedPrefillTime(tokens: number): number {
	return assumedTimePerToken * tokens * (1 + (tokens / (2 * costDoublingContextTokens)));
}

function bucketOf(tokens: number): number {
	const bucket = Math.round(2 * (Math.log2(Math.max(1, tokens)) - firstBucketExponent));
	return Math.min(bucketCount - 1, Math.max(0, bucket));
}
