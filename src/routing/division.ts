/**
 * Divides a prompt that is too large for every engine at message boundaries.
 *
 * @module
 */
import type {DivisionPlan, MessageRange} from './decision.js';

/** Upper limit on the answer tokens of each part; the combining request has the answers of all parts in its prompt. */
const partAnswerTokens = 1024;

/** Maximum share of an engine's capacity for the repeated messages; beyond it, the parts would be too small. */
const maximumRepeatedShare = 0.5;

/**
 * Maximum share of an engine's capacity that a part takes. Smaller parts find an engine sooner and cost less attention
 * compute; larger ones keep more of the prompt in one context.
 */
const maximumPartShare = 0.5;

/** Sizes from which a division is planned. */
export type DivisionInput = {
	/** Upper estimate of the tokens of each message, in order. */
	messageTokens: readonly number[];
	/** Prompt and answer tokens that fit in the memory of the largest engine. */
	capacity: number;
	/** Upper limit on the number of answer tokens of the whole request. */
	answerTokens: number;
};

/**
 * Plans the parts of a prompt; undefined if it has fewer than three messages, a single message is too large, the
 * repeated messages leave too little space for parts, or the answers of all parts do not fit in the combining request.
 *
 * The first message (the instructions) and the last one (the question) are repeated in each part.
 */
export function planDivision({messageTokens, capacity, answerTokens}: DivisionInput): DivisionPlan | undefined {
	const last = messageTokens.length - 1;
	if (last < 2) {
		return undefined;
	}

	const sharedPrefix = messageRange(messageTokens, 0, 1);
	const finalMessage = messageRange(messageTokens, last, last + 1);
	const repeatedTokens = sharedPrefix.tokens + finalMessage.tokens;
	const targetPartTokens = (capacity * maximumPartShare) - repeatedTokens - partAnswerTokens;
	if (targetPartTokens <= 0 || repeatedTokens > capacity * maximumRepeatedShare) {
		return undefined;
	}

	const parts = packMessages(messageTokens, targetPartTokens, capacity - repeatedTokens - partAnswerTokens);
	const combiningRequestTokens = repeatedTokens + ((parts?.length ?? 0) * partAnswerTokens) + answerTokens;
	return parts && combiningRequestTokens <= capacity
		? {
			sharedPrefix, parts, finalMessage, partAnswerTokens,
		}
		: undefined;
}

/**
 * Packs the messages between the first and the last, in order, into as few parts as fit, of sizes as even as the message boundaries allow.
 *
 * A message above `targetPartTokens` is a part of its own; undefined if one exceeds `maximumPartTokens`.
 */
function packMessages(messageTokens: readonly number[], targetPartTokens: number, maximumPartTokens: number): MessageRange[] | undefined {
	const middle = messageRange(messageTokens, 1, messageTokens.length - 1);
	const evenPartTokens = middle.tokens / Math.ceil(middle.tokens / targetPartTokens);
	const parts: MessageRange[] = [];
	let first = 1;
	let tokens = 0;
	for (let index = 1; index < messageTokens.length - 1; index++) {
		const message = messageTokens[index]!;
		if (message > maximumPartTokens) {
			return undefined;
		}

		if (tokens > 0 && (tokens + message > targetPartTokens || tokens >= evenPartTokens)) {
			parts.push({first, end: index, tokens});
			first = index;
			tokens = 0;
		}

		tokens += message;
	}

	parts.push({first, end: messageTokens.length - 1, tokens});
	return parts;
}

function messageRange(messageTokens: readonly number[], first: number, end: number): MessageRange {
	return {first, end, tokens: messageTokens.slice(first, end).reduce((sum, tokens) => sum + tokens, 0)};
}
