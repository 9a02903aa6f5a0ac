/**
 * Estimates a prompt's tokens from its bytes, by what upstreams report for each model.
 *
 * @module
 */

/** Bytes per token assumed for a model before its first report. */
const initialBytesPerToken = 3.6;

/** Weight of one report against all before it. */
const reportWeight = 0.05;

/** Mean deviations by which the cautious estimate lies above the likely one. */
const cautiousDeviations = 3;

/** Share of the prompt that a model without reports may be misjudged by. */
const initialDeviation = 0.1;

/** Tokens that a chat template adds to any prompt. */
const templateTokens = 16;

type ModelLength = {bytesPerToken: number; deviation: number; reports: number};

/** Bytes per token of each model, learnt from usage reports. */
export class PromptLengthEstimator {
	readonly #models = new Map<string, ModelLength>();

	/** Likely number of tokens. */
	expectedTokens(model: string, bytes: number): number {
		const {bytesPerToken} = this.#models.get(model) ?? {bytesPerToken: initialBytesPerToken};
		return Math.ceil(bytes / bytesPerToken) + templateTokens;
	}

	/** Number of tokens that a prompt hardly exceeds, for judging whether it fits. */
	conservativeTokens(model: string, bytes: number): number {
		return Math.ceil(this.expectedTokens(model, bytes) * (1 + (cautiousDeviations * this.meanRelativeError(model))));
	}

	/** Bytes per token as learnt so far. */
	bytesPerToken(model: string): number {
		return this.#models.get(model)?.bytesPerToken ?? initialBytesPerToken;
	}

	/** Mean relative error of the estimates so far. */
	meanRelativeError(model: string): number {
		return this.#models.get(model)?.deviation ?? initialDeviation;
	}

	/** Takes in the tokens that an upstream counted for a prompt of so many bytes. */
	observe(model: string, bytes: number, tokens: number): void {
		if (tokens <= templateTokens || bytes <= 0) {
			return;
		}

		const known = this.#models.get(model) ?? {bytesPerToken: initialBytesPerToken, deviation: initialDeviation, reports: 0};
		const relativeError = Math.abs(this.expectedTokens(model, bytes) - tokens) / tokens;
		const weight = Math.max(reportWeight, 1 / (known.reports + 1));
		const actual = bytes / (tokens - templateTokens);
		this.#models.set(model, {
			bytesPerToken: known.bytesPerToken + (weight * (actual - known.bytesPerToken)),
			deviation: known.reports === 0 ? known.deviation : known.deviation + (weight * (relativeError - known.deviation)),
			reports: known.reports + 1,
		});
	}
}
