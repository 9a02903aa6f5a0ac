/**
 * Which of the waiting prompts are tried in one round of decisions.
 *
 * Handles a rank in which prompts of very different sizes wait: behind a large one that finds no room, smaller ones are placed
 * that do, for as long as this does not cost the large one its chance.
 *
 * @module
 */
import {isPromising, type Overload, type WaitingPrompt} from './waiting-room.js';

/** Most tries for one service and rank from the first one that finds no room: each compares all engines. */
export const maximumTries = 4;

/** Share of a prompt's longest wait, and of the backlog beyond its limit that leaves it a chance, up to which smaller ones pass it. */
const passedOverShare = 0.5;

/** What a round needs to know of a waiting prompt. Monotonic times in milliseconds. */
export type RoundPrompt = Pick<WaitingPrompt, 'service' | 'rankIndex' | 'prefillTime' | 'isOverShare'> & {startedAt: number; giveUpAt: number};

/** Prompts of one service and rank in a round in which one has found no room. */
type BlockedGroup = {triesLeft: number; smallestPrefillTime: number; isForOverShare: boolean};

/** Whether smaller prompts may be placed before one that finds no room. Each placement adds to the backlog that it waits for. */
export function mayBePassedOver(overload: Overload, {startedAt, giveUpAt}: Pick<RoundPrompt, 'startedAt' | 'giveUpAt'>, now: number): boolean {
	const timeLeft = giveUpAt - now;
	return timeLeft > passedOverShare * (giveUpAt - startedAt) && isPromising(overload, passedOverShare * timeLeft);
}

/** One round of decisions, in the order of the waiting prompts. */
export class DecisionRound {
	readonly #blocked = new Map<string, BlockedGroup>();

	/** Whether a prompt is tried: behind one without room, only a smaller one, and none over its customer's share before one within it. */
	isTried(prompt: RoundPrompt): boolean {
		const group = this.#blocked.get(groupOf(prompt));
		return group === undefined || (group.triesLeft > 0 && prompt.prefillTime < group.smallestPrefillTime && (group.isForOverShare || !prompt.isOverShare()));
	}

	/** Records a try. @param overload - Of a prompt that has found no room and keeps waiting. */
	record(prompt: RoundPrompt, overload: Overload | undefined, now: number): void {
		const key = groupOf(prompt);
		const group = this.#blocked.get(key);
		if (overload === undefined) {
			if (group) {
				group.triesLeft -= 1;
			}

			return;
		}

		this.#blocked.set(key, {
			triesLeft: mayBePassedOver(overload, prompt, now) ? (group?.triesLeft ?? maximumTries) - 1 : 0,
			smallestPrefillTime: prompt.prefillTime,
			isForOverShare: prompt.isOverShare(),
		});
	}
}

function groupOf({service, rankIndex}: RoundPrompt): string {
	return `${rankIndex} ${service}`;
}
