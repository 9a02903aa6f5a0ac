/**
 * Counts of calls to a service by kind and purpose.
 *
 * @module
 */

/** Calls of one kind for one purpose. */
export type CallCount = {
	kind: string;
	purpose: string;
	calls: number;
};

/** Counts calls since the last reset. */
export class CallCounts {
	#counts = new Map<string, CallCount>();

	add(kind: string, purpose: string): void {
		const name = `${kind} ${purpose}`;
		const count = this.#counts.get(name) ?? {kind, purpose, calls: 0};
		count.calls++;
		this.#counts.set(name, count);
	}

	/** Calls of one kind, for one purpose or for all. */
	total(kind: string, purpose?: string): number {
		return this.list()
			.filter(count => count.kind === kind && (purpose === undefined || count.purpose === purpose))
			.reduce((sum, count) => sum + count.calls, 0);
	}

	list(): CallCount[] {
		return [...this.#counts.values()].map(count => ({...count}));
	}

	reset(): void {
		this.#counts = new Map();
	}
}

/** Purpose of a key: its first path segment. */
export function purposeOfKey(key: string | undefined): string {
	return key?.split('/', 1)[0] ?? '';
}
