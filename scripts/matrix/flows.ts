/**
 * The courses that requests take in the matrix, with the steps at which faults are injected.
 *
 * @module
 */
import type {RequestState} from '../../src/request/request-lifecycle.js';
import type {Question} from '../../src/scenario/caller.js';
import type {StoreCall} from '../../src/scenario/guarded-clients.js';

/**
 * A step: a state that the request enters, the time shortly after it was sent when its connection is in use, or a store
 * call of its instance before it leaves or after it was answered.
 */
export type Step = 'under way' | `state ${RequestState}` | `${StoreCall} ${'before' | 'after'}`;

/** One course. */
export type Flow = {
	name: string;
	question: Omit<Question, 'requestId'>;
	steps: readonly Step[];
	/**
	 * What happens before the request is asked.
	 * @default 'nothing'
	 */
	before?: 'nothing' | 'busy-engines' | 'answered-elsewhere' | 'lost-claim-answer';
};

/** Time in milliseconds until the caller gives up. */
const deadline = 30_000;

/** Time in milliseconds until the caller of a long prompt gives up. */
const longDeadline = 60_000;

/** Answer tokens of a prompt whose answer is too large for the table. */
const largeAnswer = 400;

/** Words of a prompt that only one engine at a time takes. */
const longPromptWords = 112_000;

const prompt = {
	kind: 'prompt', deadline, nonIdempotent: false, idempotencyKey: undefined, text: 'which court ruled', answerTokens: 40, streams: true,
} as const satisfies Omit<Question, 'requestId'>;

const call = {
	kind: 'call', deadline, nonIdempotent: true, idempotencyKey: 'key-1', text: 'lookup', answerTokens: 0, streams: false,
} as const satisfies Omit<Question, 'requestId'>;

const claimSteps: readonly Step[] = [
	'write-claim before', 'write-claim after', 'state claimed', 'state admitted', 'write-sent before', 'write-sent after', 'state sent', 'under way', 'state streaming',
];

const endSteps: readonly Step[] = ['state ended', 'write-ending before', 'write-ending after'];

/** Text of a prompt of the long tier. */
export const longText = 'tuna '.repeat(longPromptWords);

/** Courses in the order of the table. */
export const flows: readonly Flow[] = [
	{
		name: 'call with a key', question: call, steps: ['state received', ...claimSteps, ...endSteps, 'read-list before', 'read-list after'],
	},
	{
		name: 'call without a key',
		question: {...call, idempotencyKey: undefined},
		steps: ['state received', 'state admitted', 'state sent', 'under way', 'state streaming', 'state ended'],
	},
	{
		name: 'call, idempotent',
		question: {...call, idempotencyKey: undefined, nonIdempotent: false},
		steps: ['state received', 'state admitted', 'state sent', 'under way', 'state streaming', 'state ended'],
	},
	{
		name: 'prompt, streamed',
		question: prompt,
		steps: ['state received', 'state admitted', 'state sent', 'under way', 'state streaming', 'state ended', 'read-list before', 'read-list after'],
	},
	{
		name: 'prompt, whole',
		question: {...prompt, streams: false},
		steps: ['state received', 'state admitted', 'state sent', 'under way', 'state streaming', 'state ended'],
	},
	{
		name: 'prompt that waits',
		question: {...prompt, text: longText, deadline: longDeadline},
		before: 'busy-engines',
		steps: ['state received', 'state waiting', 'state admitted', 'state sent', 'under way', 'state streaming', 'state ended'],
	},
	{
		name: 'prompt with a key',
		question: {
			...prompt, nonIdempotent: true, idempotencyKey: 'key-2', answerTokens: largeAnswer,
		},
		steps: ['state received', ...claimSteps, 'put-answer before', 'put-answer after', ...endSteps],
	},
	{
		name: 'kept answer',
		question: {
			...prompt, nonIdempotent: true, idempotencyKey: 'key-2', answerTokens: largeAnswer,
		},
		before: 'answered-elsewhere',
		steps: ['state received', 'write-claim before', 'write-claim after', 'get-answer before', 'get-answer after', 'state admitted', 'state ended'],
	},
	{
		name: 'claim read back',
		question: call,
		before: 'lost-claim-answer',
		steps: ['settle-read before', 'settle-read after', 'read-claim before', 'read-claim after', 'write-sent before', 'state sent', 'under way'],
	},
];
