/**
 * Order of the events of a stream by their ids, with which a stream is resumed.
 *
 * An id is any text, such as "17", "000017" or "piece-17". Only the integers in it tell which of two ids is the later one.
 *
 * @module
 */

/** Maximum length of an id in bytes, well below what servers accept as the value of a header. */
const maximumIdLength = 256;

/** Texts that reach an engine unchanged as the value of a header. */
const idPattern = /^[\u0021-\u007E\u0080-\u00FF](?:[\u0020-\u007E\u0080-\u00FF]*[\u0021-\u007E\u0080-\u00FF])?$/v;

/** Returns undefined for a text with which no stream can be resumed. Each character stands for one byte. */
export function parseEventId(text: string | undefined): string | undefined {
	return text !== undefined && text.length <= maximumIdLength && idPattern.test(text) ? text : undefined;
}

/** Which services number the events of their streams consecutively. All of them, until two engines agree on other ids. */
export class StreamNumbering {
	readonly #others = new Set<string>();

	isConsecutive(service: string): boolean {
		return !this.#others.has(service);
	}

	/** Records that two engines of a service have sent the same id where a consecutive one was due. */
	recordOtherIds(service: string): void {
		this.#others.add(service);
	}
}

/** Equal steps between the ids of a stream from which on a multiple of the step counts as a gap. */
const minimumEqualSteps = 2;

/** Events of one answer, over all attempts at it. */
export class EventOrder {
	#lastId: string | undefined;
	#hasEvents = false;
	/** Whether the texts of all ids so far tell their order. */
	#isOrdered = true;
	/** Whether all neighbouring ids so far differ by the same number, which is the last step. */
	#isEven = true;
	#step: bigint | undefined;
	#stepCount = 0;
	/** Id behind the last event that an engine has sent and that looks like a gap. */
	#disputedId: string | undefined;
	readonly #numbering: {of: StreamNumbering; service: string} | undefined;

	/**
	 * @param lastId - Id of the last event that the caller had before; undefined if it had none.
	 * @param numbering - What is known of the ids of the service; undefined where no other engine can be asked whether events are missing.
	 */
	constructor(lastId: string | undefined, numbering?: {of: StreamNumbering; service: string}) {
		this.#lastId = lastId;
		this.#numbering = numbering;
	}

	/** Id of the last event that the caller has; undefined if there is none. */
	get lastId(): string | undefined {
		return this.#lastId;
	}

	/** Whether another engine can be told behind which event it goes on, or has to begin at the first one. */
	get isResumable(): boolean {
		return !this.#hasEvents || (this.#lastId !== undefined && this.#isOrdered);
	}

	/**
	 * Records the next event.
	 *
	 * @param isFirst - Whether it is the first one of its attempt.
	 * @returns undefined if it follows the last one; otherwise why it does not, and nothing is recorded.
	 */
	record(id: string | undefined, isFirst: boolean): string | undefined {
		const defect = this.#lastId === undefined ? undefined : this.#follow(this.#lastId, id, isFirst);
		if (defect === undefined) {
			this.#hasEvents = true;
			this.#lastId = id ?? this.#lastId;
			this.#disputedId = undefined;
		}

		return defect;
	}

	#follow(lastId: string, id: string | undefined, isFirst: boolean): string | undefined {
		// Whatever has no id of its own in a stream with ids, such as an error that a faulty engine appends, is no part of it.
		if (id === undefined) {
			return `event without an id received after event "${lastId}"`;
		}

		const {order, difference} = compareIds(lastId, id);
		const received = `event "${id}" received after event "${lastId}"`;
		if (order === 'same' || order === 'earlier') {
			return received;
		}

		if (order === 'unknown') {
			this.#isOrdered = false;
			this.#recordStep(undefined);
			return isFirst && this.#hasEvents ? `${received}, which do not tell their order` : undefined;
		}

		if (this.#isGap(difference)) {
			if (!isFirst || id !== this.#disputedId) {
				this.#disputedId = id;
				return `${received}, between which events seem to be missing`;
			}

			this.#numbering?.of.recordOtherIds(this.#numbering.service);
		}

		this.#recordStep(difference);
		return undefined;
	}

	/** Whether events seem to be missing, which nothing tells for sure: ids need not rise evenly. */
	#isGap(difference: bigint | undefined): boolean {
		if (this.#numbering?.of.isConsecutive(this.#numbering.service) && this.#isEven) {
			return difference !== 1n;
		}

		return this.#isEven && this.#stepCount >= minimumEqualSteps && difference !== undefined && difference !== this.#step && difference % this.#step! === 0n;
	}

	#recordStep(difference: bigint | undefined): void {
		this.#isEven &&= difference !== undefined && (this.#step === undefined || difference === this.#step);
		this.#step = difference;
		this.#stepCount += 1;
	}
}

/** Integers without a sign, negative ones, fractions, and what is between them. */
const runPattern = /^-\d+|(?<=\d)\.\d+|\d+|(?:(?!(?<=\d)\.\d)\D)+/gv;
const integerPattern = /^\d/v;

/** How the second one of two ids relates to the first one. */
type IdComparison = {
	order: 'earlier' | 'same' | 'later' | 'unknown';
	/** By how much the only integer in which they differ is greater; undefined if they differ in more. */
	difference?: bigint;
};

/** Compares the integers in two ids from left to right. Ids that differ in anything else, such as a fraction, have no known order. */
function compareIds(first: string, second: string): IdComparison {
	const runs = first.match(runPattern) ?? [];
	const otherRuns = second.match(runPattern) ?? [];
	const differing = runs.map((run, index) => [run, otherRuns[index] ?? ''] as const).filter(([run, otherRun]) => run !== otherRun);
	if (runs.length !== otherRuns.length || !differing.flat().every(run => integerPattern.test(run))) {
		return {order: 'unknown'};
	}

	const differences = differing.map(([run, otherRun]) => BigInt(otherRun) - BigInt(run)).filter(difference => difference !== 0n);
	const [difference] = differences;
	if (difference === undefined) {
		return {order: 'same'};
	}

	return {order: difference > 0n ? 'later' : 'earlier', ...(differences.length === 1 && {difference})};
}
