/**
 * Estimates the number of tokens of a prompt from its size in bytes, by the token counts that upstreams report for each model.
 *
 * @module
 */

/** Bytes per token assumed for a model before its first report. */
const initialBytesPerToken = 3.6;

/** Minimum weight of a new report in the moving averages; the first reports weigh more. */
const minimumReportWeight = 0.05;

/** Multiple of the mean relative error by which the conservative estimate exceeds the expected one. */
const conservativeErrorMultiple = 3;

/** Relative error assumed for a model before its first report. */
const initialRelativeError = 0.1;

/** Tokens that a chat template adds to any prompt. */
const chatTemplateTokens = 16;

type ModelStatistics = {bytesPerToken: number; meanRelativeError: number; reportCount: number};

/** Bytes per token of each model, learnt from usage reports. */
export class PromptLengthEstimator {
	readonly #models = new Map<string, ModelStatistics>();

	/** Expected number of tokens of a prompt. */
	expectedTokens(model: string, bytes: number): number {
		const {bytesPerToken} = this.#models.get(model) ?? {bytesPerToken: initialBytesPerToken};
		return Math.ceil(bytes / bytesPerToken) + chatTemplateTokens;
	}

	/** Number of tokens that a prompt rarely exceeds, for checking whether it fits an engine. */
	conservativeTokens(model: string, bytes: number): number {
		return Math.ceil(this.expectedTokens(model, bytes) * (1 + (conservativeErrorMultiple * this.meanRelativeError(model))));
	}

	/** Bytes per token as learnt so far. */
	bytesPerToken(model: string): number {
		return this.#models.get(model)?.bytesPerToken ?? initialBytesPerToken;
	}

	/** Mean relative error of the expected numbers of tokens so far. */
	meanRelativeError(model: string): number {
		return this.#models.get(model)?.meanRelativeError ?? initialRelativeError;
	}

	/** Learns from the number of tokens that an upstream counted for a prompt of this size in bytes. */
	observe(model: string, bytes: number, tokens: number): void {
		if (tokens <= chatTemplateTokens || bytes <= 0) {
			return;
		}

		const known = this.#models.get(model) ?? {bytesPerToken: initialBytesPerToken, meanRelativeError: initialRelativeError, reportCount: 0};
		const relativeError = Math.abs(this.expectedTokens(model, bytes) - tokens) / tokens;
		const weight = Math.max(minimumReportWeight, 1 / (known.reportCount + 1));
		const bytesPerToken = bytes / (tokens - chatTemplateTokens);
		this.#models.set(model, {
			bytesPerToken: known.bytesPerToken + (weight * (bytesPerToken - known.bytesPerToken)),
			meanRelativeError: known.reportCount === 0 ? known.meanRelativeError : known.meanRelativeError + (weight * (relativeError - known.meanRelativeError)),
			reportCount: known.reportCount + 1,
		});
	}
}
