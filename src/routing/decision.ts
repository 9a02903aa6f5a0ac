/**
 * Input and output types of the router.
 *
 * Times are in milliseconds on one monotonic clock, which the caller of the router reads.
 *
 * @module
 */

/** A request as the router sees it, for one attempt. */
export type RequestFacts = {
	requestId: string;
	customer: string;
	requestClass: string;
	/** Requested model; undefined for a plain service. */
	model: string | undefined;
	/** Name of the requested service pool; undefined for a prompt. */
	service: string | undefined;
	/** Total UTF-8 bytes of the message texts; 0 for a plain service. */
	promptBytes: number;
	/** UTF-8 bytes of each message's text, in order. */
	messageBytes: readonly number[];
	/** One hash per complete chunk of the prompt, each over the chunk and all chunks before it. */
	prefixHashes: readonly string[];
	/** Upper limit on the number of answer tokens. */
	maximumAnswerTokens: number;
	/** Time by which the request must have ended. */
	deadline: number;
	/** Names of the upstreams at which earlier attempts failed. */
	excluded: readonly string[];
};

/** Class of a prompt by its expected prefill time, and so by how long it occupies an engine. */
export type PrefillTier = 'short' | 'medium' | 'long';

/** Why the upstream was chosen. */
export type SendReason = 'least-cost' | 'prefix-hit' | 'only-candidate' | 'late-binding';

/** Why a request waits at this instance. */
export type WaitReason = 'long-bound' | 'memory' | 'engine-busy';

/** Codes of the errors with which admission refuses a request; none of them has run on an upstream. */
export type RefusalCode = '3001' | '3002' | '3003' | '3004' | '3005';

/** The request is to be sent to an upstream. */
export type SendDecision = {
	kind: 'send';
	upstream: string;
	pool: string;
	tier: PrefillTier;
	/** Expected time to first token in milliseconds; for a plain service, its load in requests. Lower is better. */
	score: number;
	/** Candidate with the second-lowest score, if there was one. */
	secondBest: string | undefined;
	secondBestScore: number | undefined;
	/** Number of upstreams that were scored. */
	candidateCount: number;
	/** Estimated number of tokens in the whole prompt. */
	promptTokens: number;
	/** Prompt tokens expected to hit the upstream's prefix cache. */
	cachedTokens: number;
	/** Scheduling priority to send to the engine; higher values run first. */
	priority: number;
	/** Whether memory must be reserved at the engine first and the outcome reported to the router. */
	isReservationRequired: boolean;
	reason: SendReason;
};

/** The request stays in the router's queue until it is drained or withdrawn, or its deadline passes. */
export type WaitDecision = {
	kind: 'wait';
	tier: PrefillTier;
	reason: WaitReason;
	/** Time at which to drain the queue again, unless an observation triggers that earlier. */
	recheckAt: number;
	promptTokens: number;
};

/** The request is refused; it did not run. */
export type RefuseDecision = {
	kind: 'refuse';
	code: RefusalCode;
	/** Delay in milliseconds before a retry makes sense; undefined if none ever does. */
	retryAfter: number | undefined;
	/** Text for the log line and for the error message to the caller. */
	reason: string;
};

/** The prompt is to be divided: the parts run as separate requests, and a final request combines their answers. */
export type DivideDecision = {
	kind: 'divide';
	promptTokens: number;
	plan: DivisionPlan;
};

/** What is to be done with a request. */
export type Decision = SendDecision | WaitDecision | RefuseDecision | DivideDecision;

/** Messages from index `first` up to but not including `end`, and their total tokens. */
export type MessageRange = {first: number; end: number; tokens: number};

/** How a prompt that is too large for every engine is divided at message boundaries. */
export type DivisionPlan = {
	/** Leading messages, repeated in every part and in the combining request. */
	sharedPrefix: MessageRange;
	/** Messages of each part, in prompt order. */
	parts: readonly MessageRange[];
	/** The last message, which holds the question; repeated in every part and in the combining request. */
	finalMessage: MessageRange;
	/** Upper limit on the number of answer tokens of each part. */
	partAnswerTokens: number;
};

/** Result of a reservation; `expectedWait` is in milliseconds. */
export type ReservationOutcome
	= | {kind: 'reserved'; expectedWait: number}
		| {kind: 'refused'};

/** Decision on a request that has left the queue. */
export type QueuedRequestDecision = {
	requestId: string;
	decision: SendDecision | RefuseDecision;
};

/** Score of one upstream, and why it is excluded if it is no candidate. */
export type CandidateExplanation = {
	upstream: string;
	score: number | undefined;
	/** Reason for the exclusion; undefined for a candidate. */
	excludedBecause: string | undefined;
};

/** Pools and upstreams considered for a request, as shown to operators. */
export type Explanation = {
	pools: ReadonlyArray<{pool: string; matches: boolean; unmet: string | undefined}>;
	candidates: readonly CandidateExplanation[];
};
