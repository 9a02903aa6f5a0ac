/**
 * Prompts that wait at this instance for capacity: which of them may wait, which is decided next, and which is refused when
 * there are too many.
 *
 * Handles bursts that pass before the latency targets of the least urgent prompts: they wait without taking up engines, so
 * that more urgent ones find them free, and are placed when the backlog is gone.
 *
 * @module
 */

/** Most waiting prompts of an instance; each is decided on again and again. */
export const maximumWaitingPrompts = 256;

/** Share of the instance's memory that waiting prompts may take, and the limit in bytes where the memory is not known. */
const waitingMemoryShare = 0.1;
const defaultMaximumBytes = 32 * 1_048_576;

/** Share of the caller's time for which its prompt may wait: a refused caller needs the rest to come back. */
const maximumWaitShare = 0.5;

/**
 * Share of the time for which a prompt may still wait within which room must come, if nothing more is placed. More is placed
 * all the time: with the whole time, the less urgent prompts that wait refill the engines as soon as these have room.
 */
const promisingWaitShare = 0.1;

/** A prompt that waits. */
export type WaitingPrompt = {
	service: string;
	/** Number of more urgent ranks. */
	rankIndex: number;
	/** Whether its customer has been served more than its fair share. */
	isOverShare: () => boolean;
	/** Monotonic time in milliseconds at which its first event would be late. */
	lateAt: number;
	bytes: number;
	/** Time in milliseconds that its prefill takes on one engine. */
	prefillTime: number;
};

/** What the longest wait of a prompt follows from. Times in milliseconds. */
export type WaitTerms = {
	/** Time left until its first event is late; undefined for a prompt that is late in any case. */
	timeUntilLate: number | undefined;
	/** Time left until its deadline, or until its caller gives up without a first event. */
	timeUntilAbandoned: number;
	/** Time to its first event on idle engines. */
	idleLatency: number;
};

/** Time in milliseconds after which a prompt that still waits is hopeless; 0 or less where it already is. */
export function longestWait({timeUntilLate = Number.POSITIVE_INFINITY, timeUntilAbandoned, idleLatency}: WaitTerms): number {
	return Math.min(timeUntilLate - idleLatency, (maximumWaitShare * timeUntilAbandoned) - idleLatency);
}

/** Expected latency of a prompt that is refused as overloaded, and the limit that this exceeds. In milliseconds. */
export type Overload = {expectedLatency: number; sheddingLimit: number};

/** Whether a prompt that is refused as overloaded is likely to find room in the time for which it may still wait. Backlog falls by a millisecond each. @param timeLeft - In milliseconds. */
export function isPromising({expectedLatency, sheddingLimit}: Overload, timeLeft: number): boolean {
	return timeLeft > 0 && expectedLatency - sheddingLimit <= promisingWaitShare * timeLeft;
}

/** Bytes of waiting prompts that an instance holds at most. @param memoryLimit - Of the instance, in bytes. */
export function maximumWaitingBytes(memoryLimit: number | undefined): number {
	return memoryLimit === undefined ? defaultMaximumBytes : memoryLimit * waitingMemoryShare;
}

/** Order in which waiting prompts are decided: by rank, then those of customers within their fair share, then by slack. */
export function compareWaiting(one: WaitingPrompt, other: WaitingPrompt): number {
	return (one.rankIndex - other.rankIndex) || (Number(one.isOverShare()) - Number(other.isOverShare())) || (one.lateAt - other.lateAt);
}

/** The waiting prompts of one instance. */
export class WaitingRoom<Prompt extends WaitingPrompt> {
	readonly #prompts = new Set<Prompt>();
	readonly #maximumCount: number;
	readonly #maximumBytes: number;
	#bytes = 0;

	constructor({maximumCount = maximumWaitingPrompts, maximumBytes}: {maximumCount?: number; maximumBytes: number}) {
		this.#maximumCount = maximumCount;
		this.#maximumBytes = maximumBytes;
	}

	get size(): number {
		return this.#prompts.size;
	}

	get bytes(): number {
		return this.#bytes;
	}

	/** Prefill time in milliseconds of all waiting prompts. */
	get prefillTime(): number {
		return [...this.#prompts].reduce((sum, {prefillTime}) => sum + prefillTime, 0);
	}

	/** Adds a prompt. @returns the prompts that must be refused because there are too many, the least urgent first; they no longer wait. */
	enter(prompt: Prompt): Prompt[] {
		this.#prompts.add(prompt);
		this.#bytes += prompt.bytes;
		const refused: Prompt[] = [];
		while (this.#prompts.size > this.#maximumCount || this.#bytes > this.#maximumBytes) {
			const last = this.inOrder().at(-1)!;
			this.leave(last);
			refused.push(last);
		}

		return refused;
	}

	/** Whether a prompt that enters now stays. */
	hasPlaceFor(prompt: WaitingPrompt): boolean {
		let count = this.#prompts.size + 1;
		let bytes = this.#bytes + prompt.bytes;
		for (const last of [...this.#prompts, prompt].toSorted(compareWaiting).toReversed()) {
			if (count <= this.#maximumCount && bytes <= this.#maximumBytes) {
				return true;
			}

			if (last === prompt) {
				return false;
			}

			count -= 1;
			bytes -= last.bytes;
		}

		return true;
	}

	leave(prompt: Prompt): void {
		if (this.#prompts.delete(prompt)) {
			this.#bytes -= prompt.bytes;
		}
	}

	/** Whether a prompt of the same service waits that is to be decided before a new one. */
	isOvertaking(prompt: WaitingPrompt): boolean {
		return [...this.#prompts].some(other => other.service === prompt.service && compareWaiting(other, prompt) < 0);
	}

	inOrder(): Prompt[] {
		return [...this.#prompts].toSorted(compareWaiting);
	}
}
