/**
 * How long answers of each service take, as this instance has observed it.
 *
 * What is kept of an answer to a prompt is the time to its first event and its gaps between events. The former compares among
 * prompts of similar length, the latter among all, by the time that the profile of the service's engines gives for decoding.
 * Durations of other requests, which have no such time, are kept apart as they are.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {RequestHeaderValues, Service} from './model.js';
import {expectedAnswerOf, type ExpectedAnswer, ObservedAnswer} from './observed-answer.js';

/** Latest answers of a service that are kept. */
const maximumKeptAnswers = 256;

/** Time in milliseconds after its end for which an answer counts: engines that were slow longer ago are no reason to refuse. */
const observationPeriod = 60_000;

/** Answers to prompts of similar length from which those to other prompts don't count. */
const minimumSimilarAnswers = 20;

/** Largest share of answers that a shutdown may abandon: another instance serves a refused request a moment later, while an abandoned answer is lost. */
const maximumAbandonedShare = 0.01;

type ServiceAnswers = {running: Set<ObservedAnswer>; ended: ObservedAnswer[]};

/** How an answer ended: `complete`, `incomplete`, or `not-run` if no engine worked on it. */
export type AnswerEnd = 'complete' | 'incomplete' | 'not-run';

/** Receives what happens to one answer. */
export interface AnswerObservation {
	/** Records an event that has arrived now. */
	recordEvent(): void;
	/** Records that the answer has ended now. */
	end(end: AnswerEnd): void;
}

/** How many of the observed answers took longer than some time. */
export type LongerAnswers = {longer: number; observed: number};

/** Durations of the latest answers, by service, and for prompts and other requests apart. */
export class AnswerDurations {
	readonly #answers = new Map<string, ServiceAnswers>();

	/** Observes an answer that begins now. */
	begin(service: Service, headerValues: RequestHeaderValues): AnswerObservation {
		const expected = expectedAnswerOf(service, headerValues);
		const {running, ended} = this.#answersOf(service, expected);
		const answer = new ObservedAnswer(expected, performance.now());
		running.add(answer);
		return {
			recordEvent() {
				answer.recordEvent(performance.now());
			},
			end(end) {
				if (!running.delete(answer) || end === 'not-run') {
					return;
				}

				answer.end(performance.now(), end === 'complete');
				ended.push(answer);
				if (ended.length > maximumKeptAnswers) {
					ended.shift();
				}
			},
		};
	}

	/** Why the answer to a request may not end before this instance abandons it; undefined if it is expected to, or to reach its deadline by then. */
	describeOutlasting({service, headerValues, remaining, timeUntilAbandoned}: {
		service: Service;
		headerValues: RequestHeaderValues;
		/** Time in milliseconds until the request's deadline. */
		remaining: number;
		/** Time in milliseconds until this instance abandons the request; infinite unless it is shutting down. */
		timeUntilAbandoned: number;
	}): string | undefined {
		if (timeUntilAbandoned >= remaining) {
			return undefined;
		}

		const {longer, observed} = this.countLonger(service, headerValues, timeUntilAbandoned);
		return longer > observed * maximumAbandonedShare ? `${longer} of the last ${observed} answers took longer than ${Math.round(timeUntilAbandoned)} ms` : undefined;
	}

	/**
	 * How many answers of a service took longer, or will by their recent gaps, than a request would with a duration. Those that
	 * have not come to their end count only if they do.
	 *
	 * @param duration - In milliseconds.
	 */
	countLonger(service: Service, headerValues: RequestHeaderValues, duration: number): LongerAnswers {
		const expected = expectedAnswerOf(service, headerValues);
		const now = performance.now();
		const {running, ended} = this.#answersOf(service, expected);
		const recent = ended.filter(answer => now - answer.endedAt <= observationPeriod);
		const all = [...recent, ...running];
		const eventFactor = eventFactorOf(all);
		const similar = all.filter(answer => answer.isSimilar(expected));
		const times = (similar.length < minimumSimilarAnswers ? all : similar)
			.map(answer => ({isComplete: answer.isComplete, isLonger: answer.estimateTime(expected, {now, eventFactor}) > duration}));
		const longer = times.filter(({isLonger}) => isLonger).length;
		return {longer, observed: longer + times.filter(({isComplete, isLonger}) => isComplete && !isLonger).length};
	}

	#answersOf({name}: Service, {lengthClass}: ExpectedAnswer): ServiceAnswers {
		const key = `${lengthClass === undefined ? 'other' : 'prompt'} ${name}`;
		let answers = this.#answers.get(key);
		if (!answers) {
			answers = {running: new Set(), ended: []};
			this.#answers.set(key, answers);
		}

		return answers;
	}
}

/** How an answer ended, by the outcome and the status of its request. */
export function answerEndOf(outcome: string, status: number): AnswerEnd {
	if (outcome === 'answered') {
		return status >= 200 && status < 300 ? 'complete' : 'not-run';
	}

	return outcome === 'refused' ? 'not-run' : 'incomplete';
}

/** Factor on the events that are expected of an answer which at most the share of answers that may be abandoned exceeds. */
function eventFactorOf(answers: readonly ObservedAnswer[]): number {
	const factors = answers.flatMap(({eventFactor}) => eventFactor ?? []).toSorted((one, other) => other - one);
	return factors[Math.floor(factors.length * maximumAbandonedShare)] ?? 1;
}
