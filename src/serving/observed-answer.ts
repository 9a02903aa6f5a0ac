/**
 * One answer as this instance has observed it, and the time that another request would take at the same pace.
 *
 * @module
 */
import {estimateDecodeTime, estimatePrefillTime} from '../placement/time-estimates.js';
import type {RequestHeaderValues, Service} from './model.js';

/** Latest gaps of an answer that are kept, and the least number of them that shows its pace: one gap may be a single pause of the engine. */
const maximumKeptGaps = 8;
const minimumGapsForPace = 3;

/** Prompts are of similar length if they round to the same power of this number. */
const lengthClassBase = 4;

/** What the profile of a service's engines gives for an answer; times in milliseconds, all 0 without a prompt or a profile. */
export type ExpectedAnswer = {
	/** Undefined without a prompt or a profile. */
	lengthClass: number | undefined;
	prefillTime: number;
	decodeTime: number;
	events: number;
};

/** What is expected of the answer to a request. */
export function expectedAnswerOf({engineProfile}: Service, {promptTokens, maximumAnswerTokens, answerTokensHint}: RequestHeaderValues): ExpectedAnswer {
	if (engineProfile === undefined || promptTokens === undefined) {
		return {
			lengthClass: undefined, prefillTime: 0, decodeTime: 0, events: 0,
		};
	}

	const answerTokens = maximumAnswerTokens > 0 ? maximumAnswerTokens : answerTokensHint ?? engineProfile.meanTokens.answer;
	return {
		lengthClass: Math.round(Math.log(Math.max(1, promptTokens)) / Math.log(lengthClassBase)),
		prefillTime: estimatePrefillTime(engineProfile, promptTokens),
		decodeTime: estimateDecodeTime(engineProfile, {promptTokens, answerTokens}),
		events: answerTokens / engineProfile.stepsPerIteration,
	};
}

/** An answer that is being received, or that has ended. All times are monotonic, in milliseconds. */
export class ObservedAnswer {
	readonly #expected: ExpectedAnswer;
	readonly #startedAt: number;
	readonly #gaps: number[] = [];
	#firstEventAt: number | undefined;
	#lastEventAt = 0;
	#eventCount = 0;
	/** Infinite while the answer is being received. */
	#endedAt = Number.POSITIVE_INFINITY;
	#isComplete = false;

	constructor(expected: ExpectedAnswer, startedAt: number) {
		this.#expected = expected;
		this.#startedAt = startedAt;
	}

	get endedAt(): number {
		return this.#endedAt;
	}

	get isComplete(): boolean {
		return this.#isComplete;
	}

	/** Events by those that were expected; undefined where that is not known, as of an answer that may still have more events but has not exceeded them. */
	get eventFactor(): number | undefined {
		const {events} = this.#expected;
		return events > 0 && this.#eventCount > (this.#isComplete ? 0 : events) ? this.#eventCount / events : undefined;
	}

	recordEvent(now: number): void {
		if (this.#firstEventAt === undefined) {
			this.#firstEventAt = now;
		} else {
			this.#gaps.push(now - this.#lastEventAt);
			if (this.#gaps.length > maximumKeptGaps) {
				this.#gaps.shift();
			}
		}

		this.#lastEventAt = now;
		this.#eventCount += 1;
	}

	end(now: number, isComplete: boolean): void {
		this.#endedAt = now;
		this.#isComplete = isComplete;
	}

	/** Whether the prompt of another answer is of similar length. */
	isSimilar({lengthClass}: ExpectedAnswer): boolean {
		return lengthClass === this.#expected.lengthClass;
	}

	/**
	 * Time in milliseconds that another answer would take at the pace of this one, which counts for at least its age.
	 *
	 * @param eventFactor - Factor on the expected events of an answer that is not complete.
	 */
	estimateTime(other: ExpectedAnswer, {now, eventFactor}: {now: number; eventFactor: number}): number {
		const until = Math.min(now, this.#endedAt);
		const duration = until - this.#startedAt;
		const {lengthClass, prefillTime, decodeTime} = this.#expected;
		if (lengthClass === undefined) {
			return duration;
		}

		if (this.#firstEventAt === undefined && this.#isComplete) {
			return duration * (other.prefillTime + other.decodeTime) / (prefillTime + decodeTime);
		}

		// Of prompts of another length, only the wait beyond their own prefill compares.
		const timeToFirstEvent = (this.#firstEventAt ?? until) - this.#startedAt;
		const firstEventTime = this.isSimilar(other) ? timeToFirstEvent : Math.max(0, timeToFirstEvent - prefillTime) + other.prefillTime;
		if (this.#firstEventAt === undefined) {
			return firstEventTime + other.decodeTime;
		}

		const remainingEvents = this.#isComplete ? 0 : Math.max(0, (this.#expected.events * eventFactor) - this.#eventCount);
		const eventTime = until - this.#firstEventAt + (remainingEvents * this.#medianGap);
		return firstEventTime + (decodeTime > 0 ? eventTime * other.decodeTime / decodeTime : eventTime);
	}

	/** Median of the latest gaps, which a single pause of the engine doesn't change; 0 where there are too few. */
	get #medianGap(): number {
		return this.#gaps.length < minimumGapsForPace ? 0 : this.#gaps.toSorted((one, other) => one - other)[Math.floor(this.#gaps.length / 2)]!;
	}
}
