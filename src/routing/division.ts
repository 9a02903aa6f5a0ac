/**
 * Divides a prompt that fits no engine at message boundaries.
 *
 * @module
 */
import type {DivisionPlan, MessageRange} from './decision.js';

/** Answer tokens of each part, which the combining request reads. */
const partAnswerTokens = 1024;

/** Greatest share of the memory that shared messages and question may take, or parts would be too small. */
const maximumRepeatedShare = 0.5;

/**
 * Share of an engine's memory that a part takes at most. Smaller parts find an engine sooner and cost less attention;
 * larger ones see more of the prompt at once.
 */
const maximumPartShare = 0.5;

/** Tokens of each message and what one engine can hold. */
export type DivisionInput = {
	/** Cautious tokens of each message, in order. */
	messageTokens: readonly number[];
	/** Tokens of prompt and answer that the largest engine holds. */
	capacity: number;
	/** Greatest number of answer tokens of the whole request. */
	answerTokens: number;
};

/**
 * Plans the parts; undefined where a single message is too large or the repeated messages leave no room.
 *
 * The first message (instructions) and the last one (the question) are repeated in each part.
 */
export function planDivision({messageTokens, capacity, answerTokens}: DivisionInput): DivisionPlan | undefined {
	const last = messageTokens.length - 1;
	if (last < 2) {
		return undefined;
	}

	const shared = messageRange(messageTokens, 0, 1);
	const question = messageRange(messageTokens, last, last + 1);
	const repeated = shared.tokens + question.tokens;
	const targetPartTokens = (capacity * maximumPartShare) - repeated - partAnswerTokens;
	if (targetPartTokens <= 0 || repeated > capacity * maximumRepeatedShare) {
		return undefined;
	}

	const parts = packMessages(messageTokens, targetPartTokens, capacity - repeated - partAnswerTokens);
	const combiningRequestTokens = repeated + ((parts?.length ?? 0) * partAnswerTokens) + answerTokens;
	return parts && combiningRequestTokens <= capacity
		? {
			sharedPrefix: shared, parts, finalMessage: question, partAnswerTokens,
		}
		: undefined;
}

/** Packs the middle messages in order into as few parts as fit, of sizes as even as their boundaries allow; a message above the room is a part alone. */
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
