/**
 * Learns how long an engine's prefill takes by length, and whether it interleaves other work with it.
 *
 * @module
 */

/** Half powers of two from 2^7 up to 2^21 tokens. */
const bucketCount = 29;
const firstBucketPower = 7;

/** First bucket whose time is mostly that of its tokens: 2^9 tokens. */
const firstProportionalBucket = 4;

/** Milliseconds per token assumed for short prompts before the first observation. */
const initialTimePerToken = 0.02;

/** Tokens of context at which a token is assumed to cost twice a first one. */
const doublingContext = 100_000;

/** Factor to which an observation above the expected time is cut, since it may contain waiting. */
const largestExcess = 1.5;

/** Steps by which an observation moves a bucket; queueing only adds time, so lower ones weigh more. */
const downwardWeight = 0.3;
const upwardWeight = 0.08;

/** Weight of one observation of interleaving. */
const interleavingWeight = 0.1;

/** Prefill time of one kind of engine as a function of length. */
export class PrefillEstimator {
	/** Observed time relative to the assumed shape, by bucket; NaN where nothing was observed. */
	readonly #observed = new Float64Array(bucketCount).fill(Number.NaN);
	/** The same with gaps filled from the nearest observed bucket. */
	readonly #ratio = new Float64Array(bucketCount).fill(1);
	#blocking = 1;

	/**
	 * How much of a long prefill other requests wait for: 1 where the engine finishes a prefill that it
	 * has begun, near 0 where it interleaves. Unknown engines are taken to block.
	 */
	get blockingFraction(): number {
		return this.#blocking;
	}

	/**
	 * Expected prefill time in milliseconds on an idle engine.
	 *
	 * @param tokens - Tokens of the whole prompt.
	 * @param cached - Leading tokens that need no prefill.
	 */
	prefillTime(tokens: number, cached = 0): number {
		const ratio = this.#ratio[bucketOf(tokens)]!;
		return ratio * (assumedTime(tokens) - assumedTime(Math.min(cached, tokens)));
	}

	/** Takes in the time to first token of a request that found its engine without other prefill. */
	observePrefill(tokens: number, cached: number, time: number): void {
		if (tokens <= cached) {
			return;
		}

		// Below the smallest bucket, most of the time is a fixed delay and says nothing of the speed.
		const assumed = Math.max(assumedTime(tokensOf(0)), assumedTime(tokens) - assumedTime(cached));

		const bucket = bucketOf(tokens);
		const known = this.#observed[bucket]!;
		const sample = Number.isNaN(known) ? time / assumed : Math.min(time / assumed, known * largestExcess);
		const weight = sample < known ? downwardWeight : upwardWeight;
		this.#observed[bucket] = Number.isNaN(known) ? sample : known + (weight * (sample - known));
		this.#fillGaps();
	}

	/** Takes in whether another stream progressed while a long prefill was under way. */
	observeInterleaving(progressed: boolean): void {
		this.#blocking += interleavingWeight * ((progressed ? 0 : 1) - this.#blocking);
	}

	#fillGaps(): void {
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			this.#ratio[bucket] = this.#nearestObserved(bucket);
		}
	}

	#nearestObserved(bucket: number): number {
		for (let distance = 0; distance < bucketCount; distance++) {
			const longer = this.#observed[bucket + distance];
			const shorter = this.#observed[bucket - distance];
			if (shorter !== undefined && !Number.isNaN(shorter)) {
				return carriedOver(shorter, bucket - distance, bucket);
			}

			if (longer !== undefined && !Number.isNaN(longer)) {
				return longer;
			}
		}

		return 1;
	}
}

/**
 * Ratio for a bucket that nothing was observed of, from a shorter one. What a very short prompt takes above the
 * assumed time is a fixed delay, of which a longer one has as much.
 */
function carriedOver(ratio: number, from: number, to: number): number {
	if (from >= firstProportionalBucket || ratio <= 1) {
		return ratio;
	}

	return 1 + ((ratio - 1) * assumedTime(tokensOf(from)) / assumedTime(tokensOf(to)));
}

function tokensOf(bucket: number): number {
	return 2 ** (firstBucketPower + (bucket / 2));
}

function assumedTime(tokens: number): number {
	return initialTimePerToken * tokens * (1 + (tokens / (2 * doublingContext)));
}

function bucketOf(tokens: number): number {
	const bucket = Math.round(2 * (Math.log2(Math.max(1, tokens)) - firstBucketPower));
	return Math.min(bucketCount - 1, Math.max(0, bucket));
}
