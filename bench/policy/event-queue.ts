/**
 * Events under a virtual clock.
 *
 * @module
 */

type Event = {at: number; order: number; run: () => void};

/** Runs events in the order of their time, and in the order of scheduling where times are equal. */
export class EventQueue {
	#now = 0;
	#scheduled = 0;
	readonly #heap: Event[] = [];

	/** Virtual time in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/** Schedules an event after so many milliseconds. */
	after(delay: number, run: () => void): void {
		this.at(this.#now + Math.max(0, delay), run);
	}

	/** Schedules an event at a time. */
	at(time: number, run: () => void): void {
		const event = {at: time, order: this.#scheduled++, run};
		let index = this.#heap.push(event) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(event, this.#heap[parent]!)) {
				break;
			}

			this.#heap[index] = this.#heap[parent]!;
			index = parent;
		}

		this.#heap[index] = event;
	}

	/** Runs events until none is left, `isDone` holds or the time is over. */
	run(until: number, isDone: () => boolean): void {
		while (this.#heap.length > 0 && this.#heap[0]!.at <= until && !isDone()) {
			const event = this.#pop();
			this.#now = event.at;
			event.run();
		}
	}

	#pop(): Event {
		const first = this.#heap[0]!;
		const last = this.#heap.pop()!;
		const {length} = this.#heap;
		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child + 1 < length && isBefore(this.#heap[child + 1]!, this.#heap[child]!)) {
				child++;
			}

			if (child >= length || !isBefore(this.#heap[child]!, last)) {
				break;
			}

			this.#heap[index] = this.#heap[child]!;
			index = child;
		}

		if (length > 0) {
			this.#heap[index] = last;
		}

		return first;
	}
}

function isBefore(left: Event, right: Event): boolean {
	return left.at < right.at || (left.at === right.at && left.order < right.order);
}
