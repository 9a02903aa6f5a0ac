/**
 * Timer that lets input go first: what has arrived when it is due is processed before its callback runs.
 *
 * After a process was frozen or its event loop stood still, the runtime calls due timers before it reads its sockets. A
 * plain timer would then report silence although the answer is already there.
 *
 * @module
 */

/** One timer, which can be restarted. */
export class InputFirstTimer {
	#timer: NodeJS.Timeout | undefined;
	#immediate: NodeJS.Immediate | undefined;

	/** Calls back after a time in milliseconds, unless the timer is started again or stopped before or by input that has arrived by then. */
	start(delay: number, callback: () => void): void {
		this.stop();
		this.#timer = setTimeout(() => {
			this.#immediate = setImmediate(callback);
		}, delay);
	}

	stop(): void {
		clearTimeout(this.#timer);
		clearImmediate(this.#immediate);
	}
}
