/**
 * Work that instances have placed on engines, own and told by peers.
 *
 * Each engine reads prompts one after another, so the book keeps the time at which its reading ends, and the requests
 * that write beside it. All times are monotonic, in milliseconds.
 *
 * @module
 */

/** Share of a prompt's reading that is taken to be left while its first event is overdue. */
const overdueShare = 0.15;

/** Factor on the expected reading after which a prompt without a first event no longer counts as reading. */
const longestOverdue = 3;

/** What one request does at one engine. */
export type PlacedPart = {
	engineId: string;
	/** Time that the engine reads for it. */
	reading: number;
	/** Tokens of the engine's memory that it takes until its end. */
	memory: number;
	/** Whether the engine writes the answer; others only read. */
	writes: boolean;
};

/** One request and what it does at engines. */
export type Placement = {
	/** Unique among all instances. */
	key: string;
	parts: readonly PlacedPart[];
	/** Longest pause between events that counts as on time; `Infinity` where none is asked. */
	gapTarget: number;
	/** How much its being late matters, relative to a short prompt. */
	weight: number;
	/** Time at which its engines begin to read at the earliest. */
	startsAt: number;
	/** Time after which it is forgotten if nothing is heard of it. */
	expiresAt: number;
};

/** One request at one engine. */
type Entry = {
	placement: Placement;
	part: PlacedPart;
	readEnds: number;
	begun: boolean;
};

/** A writing request, as far as it matters to what is placed beside it. */
export type Writer = {gapTarget: number; weight: number};

/** What is known of one engine's work. */
export type EngineLoadView = {
	/** Time until its reading ends. */
	backlog: number;
	/** Longest reading of one request that is not over. */
	longestPart: number;
	/** Requests that write or will write there. */
	running: number;
	memory: number;
	writers: readonly Writer[];
};

const idle: EngineLoadView = {
	backlog: 0, longestPart: 0, running: 0, memory: 0, writers: [],
};

/** Work at one engine. */
class EngineLoad {
	readonly #entries = new Map<string, Entry>();
	#readEnds = 0;

	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	place(placement: Placement, part: PlacedPart, now: number): void {
		this.#readEnds = Math.max(now, placement.startsAt, this.#readEnds) + part.reading;
		this.#entries.set(placement.key, {
			placement, part, readEnds: this.#readEnds, begun: part.reading === 0,
		});
	}

	/** The prompt is read: takes what the book still expected of it out of the queue. */
	begin(key: string, now: number): void {
		const entry = this.#entries.get(key);
		if (entry && !entry.begun) {
			entry.begun = true;
			this.#takeOut(entry, now);
			if (!entry.part.writes && entry.part.memory === 0) {
				this.#entries.delete(key);
			}
		}
	}

	hasBegun(key: string): boolean {
		return this.#entries.get(key)?.begun ?? false;
	}

	end(key: string, now: number): void {
		const entry = this.#entries.get(key);
		if (entry) {
			this.#entries.delete(key);
			if (!entry.begun) {
				this.#takeOut(entry, now);
			}
		}
	}

	view(now: number): EngineLoadView {
		let overdue = 0;
		let longestPart = 0;
		let memory = 0;
		const writers: Writer[] = [];
		for (const [key, {placement, part, readEnds, begun}] of this.#entries) {
			if (placement.expiresAt <= now) {
				this.end(key, now);
				continue;
			}

			memory += part.memory;
			if (!begun && now < readEnds) {
				longestPart = Math.max(longestPart, part.reading);
			} else if (!begun && now - readEnds < part.reading * (longestOverdue - 1)) {
				overdue += part.reading * overdueShare;
			}

			if (part.writes) {
				writers.push(placement);
			}
		}

		return {
			backlog: Math.max(0, this.#readEnds - now) + overdue, longestPart, running: writers.length, memory, writers,
		};
	}

	#takeOut(entry: Entry, now: number): void {
		const unread = Math.min(entry.part.reading, Math.max(0, entry.readEnds - now));
		if (unread === 0) {
			return;
		}

		this.#readEnds -= unread;
		for (const other of this.#entries.values()) {
			if (other.readEnds > entry.readEnds) {
				other.readEnds -= unread;
			}
		}
	}
}

/** Work at all engines. */
export class LoadBook {
	readonly #engines = new Map<string, EngineLoad>();
	readonly #placements = new Map<string, Placement>();

	/** Placements that are known now. */
	get size(): number {
		return this.#placements.size;
	}

	/** Takes in a placement; one that is known already stays as it is. */
	place(placement: Placement, now: number): void {
		if (this.#placements.has(placement.key)) {
			return;
		}

		this.#placements.set(placement.key, placement);
		for (const part of placement.parts) {
			let engine = this.#engines.get(part.engineId);
			if (!engine) {
				engine = new EngineLoad();
				this.#engines.set(part.engineId, engine);
			}

			engine.place(placement, part, now);
		}
	}

	/** The first event of a request has come, so that its prompt is read. */
	begin(key: string, now: number): void {
		for (const part of this.#placements.get(key)?.parts ?? []) {
			this.#engines.get(part.engineId)?.begin(key, now);
		}
	}

	end(key: string, now: number): void {
		for (const part of this.#placements.get(key)?.parts ?? []) {
			this.#engines.get(part.engineId)?.end(key, now);
		}

		this.#placements.delete(key);
	}

	/** Placements of an instance, whose keys begin with its name, and those of them whose first event has come. */
	allOf(keyPrefix: string): {placed: Placement[]; began: string[]} {
		const placed = [...this.#placements.values()].filter(({key}) => key.startsWith(keyPrefix));
		const began = placed.filter(({key, parts}) => parts.some(({engineId}) => this.#engines.get(engineId)?.hasBegun(key))).map(({key}) => key);
		return {placed, began};
	}

	/** Ends all requests of an instance, whose keys begin with its name. */
	endAllOf(keyPrefix: string, now: number): void {
		for (const key of this.#placements.keys()) {
			if (key.startsWith(keyPrefix)) {
				this.end(key, now);
			}
		}
	}

	/** Forgets an engine that is gone or has started anew. */
	forgetEngine(id: string): void {
		this.#engines.delete(id);
	}

	/** Drops placements that nobody ended in time. */
	expire(now: number): void {
		for (const [key, placement] of this.#placements) {
			if (placement.expiresAt <= now) {
				this.end(key, now);
			}
		}
	}

	view(engineId: string, now: number): EngineLoadView {
		return this.#engines.get(engineId)?.view(now) ?? idle;
	}
}
