/**
 * A caller of a simulated fleet: asks one instance and learns how its request ended.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {promptFacts, serviceFacts} from '../entry/facts.js';
import type {ExecutionStatus} from '../errors/catalogue.js';
import {CarobquayError, toCarobquayError} from '../errors/errors.js';
import type {AnswerSink, AnswerCompletion} from '../request/answer-sink.js';
import {RequestLifecycle, type RequestState} from '../request/request-lifecycle.js';
import {summarizePrompt} from '../request/prompt.js';
import {TimeLimit} from '../request/time-limit.js';
import {answerHash, answerText} from '../stand-in/engine/answer.js';
import type {EntryProcess} from './entry-process.js';

/** A request as its caller means it. */
export type Question = {
	kind: 'prompt' | 'call';
	requestId: string;
	/** Time in milliseconds until the caller gives up. */
	deadline: number;
	nonIdempotent: boolean;
	idempotencyKey: string | undefined;
	/** Text of the prompt or path of the call. */
	text: string;
	/** Answer tokens of a prompt. */
	answerTokens: number;
	/** Whether the answer reaches the caller token by token. */
	streams: boolean;
};

/** What the caller learns. */
export type Reply
	= | {kind: 'answered'; whole: boolean}
		| {kind: 'failed'; code: string; ran: ExecutionStatus}
		/** The instance died, so that the connection broke. */
		| {kind: 'disconnected'}
		| {kind: 'left'};

/** A request that was asked, with its reply once there is one. */
export class Asked {
	readonly question: Question;
	readonly entry: EntryProcess;
	readonly life: RequestLifecycle;
	readonly askedAt = performance.now();
	reply: Reply | undefined;
	/** Monotonic time in milliseconds of the reply. */
	repliedAt: number | undefined;
	readonly #leaving = new AbortController();

	/** @param onState - Told of each state that the request enters. */
	constructor(question: Question, entry: EntryProcess, onState: (state: RequestState) => void) {
		this.question = question;
		this.entry = entry;
		this.life = new RequestLifecycle({
			requestId: question.requestId,
			customer: 'advokaat',
			requestClass: question.kind === 'prompt' ? 'bundle' : 'citation',
			deadlineAt: this.askedAt + question.deadline,
			nonIdempotent: question.nonIdempotent,
			idempotencyKey: question.idempotencyKey,
		}, (_, to) => {
			onState(to);
		});
		entry.boundary.death.addEventListener('abort', () => {
			this.#settle({kind: 'disconnected'});
		}, {once: true});
	}

	/** Closes the caller's connection. */
	leave(): void {
		this.#settle({kind: 'left'});
		this.#leaving.abort(new CarobquayError('4009', {message: 'the caller left'}));
	}

	/** Runs the request as the callers' port does. */
	async run(): Promise<void> {
		const limit = new TimeLimit(this.life.timeRemaining, `request ${this.question.requestId} did not end within its deadline`);
		try {
			const leave = this.entry.gate.enter();
			try {
				const whole = await this.#request({deadline: limit.signal, callerLeft: this.#leaving.signal});
				await this.entry.boundary.running();
				this.#settle({kind: 'answered', whole});
			} finally {
				leave();
			}
		} catch (error) {
			const {code, ran} = toCarobquayError(error, this.life.ran);
			await this.entry.boundary.running();
			this.#settle({kind: 'failed', code, ran});
		} finally {
			limit.clear();
		}
	}

	async #request(signals: {deadline: AbortSignal; callerLeft: AbortSignal}): Promise<boolean> {
		const {question, life} = this;
		const body = bodyOf(question);
		const request = {life, content: [question.text, body], ...signals};
		if (question.kind === 'prompt') {
			const sink = new CollectingSink(question.streams);
			await this.entry.requests.runPrompt(request, {facts: promptFacts(life, summarizePrompt(body)), body: [body]}, sink);
			return sink.text === answerText(answerHash([body]), question.answerTokens) && sink.isComplete;
		}

		const answer = await this.entry.requests.callService(request, {
			facts: serviceFacts(life, 'viide-app'), call: {
				method: 'POST', path: `/${question.text}`, contentType: undefined, body: [body],
			},
		});
		return answer.status === 200 && Buffer.from(answer.body).toString().includes(`"path":"/${question.text}","body":"${answerHash([body])}"`);
	}

	#settle(reply: Reply): void {
		if (this.reply === undefined) {
			this.reply = reply;
			this.repliedAt = performance.now();
		}
	}
}

class CollectingSink implements AnswerSink {
	readonly isStreamed: boolean;
	text = '';
	isComplete = false;

	constructor(streams: boolean) {
		this.isStreamed = streams;
	}

	writeToken(text: string): undefined {
		this.text += text;
	}

	restart(): void {
		this.text = '';
	}

	async complete(_completion: AnswerCompletion): Promise<void> {
		this.isComplete = true;
	}
}

function bodyOf({kind, text, answerTokens}: Question): Uint8Array {
	return Buffer.from(kind === 'call'
		? text
		: JSON.stringify({
			model: 'kohus-70b', max_tokens: answerTokens, messages: [{role: 'user', content: text}],
		}));
}
