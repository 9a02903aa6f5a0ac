/**
 * What the router is asked and what it answers, as plain values.
 *
 * Times are in milliseconds on one monotonic clock, which the caller of the router reads.
 *
 * @module
 */

/** What is known of a request when it asks for an upstream. */
export type RequestFacts = {
	requestId: string;
	customer: string;
	requestClass: string;
	/** Model asked for; undefined for a plain service. */
	model: string | undefined;
	/** Name of the service pool asked for; undefined for a prompt. */
	service: string | undefined;
	/** UTF-8 bytes of all message texts; 0 for a plain service. */
	promptBytes: number;
	/** UTF-8 bytes of each message's text, in order. */
	messageBytes: readonly number[];
	/** Hash of each whole chunk of the prompt together with all before it. */
	prefixHashes: readonly string[];
	/** Greatest number of answer tokens. */
	maximumAnswerTokens: number;
	/** Time at which the request must have ended. */
	deadline: number;
	/** Upstreams at which earlier attempts failed. */
	excluded: readonly string[];
};

/** How much a request holds an engine, by the time that its prefill takes. */
export type PrefillTier = 'short' | 'medium' | 'long';

/** Why the chosen upstream was chosen. */
export type SendReason = 'least-cost' | 'prefix-hit' | 'only-candidate' | 'late-binding';

/** Why a request waits at this instance. */
export type WaitReason = 'long-bound' | 'memory' | 'engine-busy';

/** Numbers of the errors with which admission refuses; in each case nothing ran. */
export type RefusalCode = '3001' | '3002' | '3003' | '3004' | '3005';

/** Send the request to an upstream. */
export type SendDecision = {
	kind: 'send';
	upstream: string;
	pool: string;
	tier: PrefillTier;
	/** Expected time to the first token in milliseconds. */
	score: number;
	/** Next best candidate, if there was one. */
	secondBest: string | undefined;
	secondBestScore: number | undefined;
	/** Upstreams that were scored. */
	candidateCount: number;
	/** Estimated tokens of the whole prompt. */
	promptTokens: number;
	/** Tokens believed to be in the upstream's prefix cache. */
	cachedTokens: number;
	/** Priority to give the engine; higher runs first. */
	priority: number;
	/** Whether to reserve at the engine first and report the outcome with `reserved`. */
	isReservationRequired: boolean;
	reason: SendReason;
};

/** Keep the request; it is in the router's queue until `drain`, `withdraw` or its deadline. */
export type WaitDecision = {
	kind: 'wait';
	tier: PrefillTier;
	reason: WaitReason;
	/** Time at which to call `drain` unless an observation comes before. */
	recheckAt: number;
	promptTokens: number;
};

/** Refuse the request; it did not run. */
export type RefuseDecision = {
	kind: 'refuse';
	code: RefusalCode;
	/** Time in milliseconds after which asking again makes sense; undefined where it never does. */
	retryAfter: number | undefined;
	/** For the log line and the message to the caller. */
	reason: string;
};

/** Divide the prompt, run the parts as requests of their own and combine their answers. */
export type DivideDecision = {
	kind: 'divide';
	promptTokens: number;
	plan: DivisionPlan;
};

/** What to do with a request. */
export type Decision = SendDecision | WaitDecision | RefuseDecision | DivideDecision;

/** Messages from `first` up to but without `end`. */
export type MessageRange = {first: number; end: number; tokens: number};

/** How a prompt that fits no engine is divided at message boundaries. */
export type DivisionPlan = {
	/** Leading messages that every part and the combining request repeat. */
	sharedPrefix: MessageRange;
	/** Messages of each part, in the order of the prompt. */
	parts: readonly MessageRange[];
	/** The last message, which asks the question; repeated in every part and in the combining request. */
	finalMessage: MessageRange;
	/** Greatest number of answer tokens of each part. */
	partAnswerTokens: number;
};

/** What happened when a reservation was asked for. */
export type ReservationOutcome
	= | {kind: 'reserved'; expectedWait: number}
		| {kind: 'refused'};

/** A queued request that has left the queue. */
export type QueuedRequestDecision = {
	requestId: string;
	decision: SendDecision | RefuseDecision;
};

/** Why one upstream was or was not a candidate. */
export type CandidateExplanation = {
	upstream: string;
	score: number | undefined;
	/** Why it was left out; undefined for a candidate. */
	excludedBecause: string | undefined;
};

/** How a decision would come about. */
export type Explanation = {
	pools: ReadonlyArray<{pool: string; matches: boolean; unmet: string | undefined}>;
	candidates: readonly CandidateExplanation[];
};
