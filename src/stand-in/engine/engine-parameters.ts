/**
 * Sizes and costs of a modelled engine.
 *
 * @module
 */

/** Sizes and costs of an engine. */
export type EngineParameters = {
	/**
	 * Blocks of KV memory.
	 * @default 6400
	 */
	blocks: number;
	/**
	 * Tokens in one block.
	 * @default 64
	 */
	blockTokens: number;
	/**
	 * Prompt tokens prefilled in one step.
	 * @default 2048
	 */
	chunkTokens: number;
	/**
	 * Whether a prefill goes in chunks beside decoding, with higher priorities let in between. Otherwise a prefill
	 * that has begun runs to its end with neither another prefill nor decoding beside it.
	 * @default true
	 */
	chunkedPrefill: boolean;
	/**
	 * Greatest number of streams that run at once.
	 * @default 64
	 */
	maximumBatch: number;
	/**
	 * Fixed time of a step in milliseconds.
	 * @default 8
	 */
	stepBase: number;
	/**
	 * Time in milliseconds for each prefilled token.
	 * @default 0.05
	 */
	prefillPerToken: number;
	/**
	 * Time in milliseconds for each prefilled token and each 1000 tokens of context before it.
	 * @default 0.0005
	 */
	prefillPerTokenContext: number;
	/**
	 * Time in milliseconds of a step for each 1000 KV tokens of a decoding stream.
	 * @default 0.02
	 */
	decodeReadPerThousandTokens: number;
	/**
	 * Greatest number of blocks that unused cached prefixes keep.
	 * @default 3200
	 */
	prefixCacheBlocks: number;
};

/** An engine that holds about 410,000 tokens. */
export const defaultEngineParameters: Readonly<EngineParameters> = {
	blocks: 6400,
	blockTokens: 64,
	chunkTokens: 2048,
	chunkedPrefill: true,
	maximumBatch: 64,
	stepBase: 8,
	prefillPerToken: 0.05,
	prefillPerTokenContext: 0.0005,
	decodeReadPerThousandTokens: 0.02,
	prefixCacheBlocks: 3200,
};
