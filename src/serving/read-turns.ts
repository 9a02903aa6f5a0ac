/**
 * Shares the event loop among connections that send very many small parts, such as chunks of a body or events of a stream.
 *
 * The runtime reads up to 2 MB of a connection in a row and calls back for each chunk of a body, so that a few connections
 * with parts of one byte would keep the event loop for seconds from all other work.
 *
 * @module
 */
import type {Duplex} from 'node:stream';

/** Default of `partsPerTurn`. */
const defaultPartsPerTurn = 512;

/** Turns of the event loop for other work between two in which connections of callers, or of engines, are read again. */
export const usualFreeTurns = 8;

/** Parts in one turn of all connections that are read again. */
const partsOfWaitingPerTurn = 4096;

/** Share of `partsPerTurn` from which on the end of a turn is noticed, which wakes the event loop; fewer parts count together over several turns. */
const countedShare = 0.5;

/** Options of a `ReadTurns`. */
export type ReadTurnsOptions = {
	/**
	 * Parts of one connection in one turn of the event loop from which on it is read no further in this turn.
	 * @default 512
	 */
	partsPerTurn?: number;
	/**
	 * Turns of the event loop that are left to other work before connections that wait are read again. One read of small parts
	 * takes long, while a turn without any is short, and the runtime accepts one connection in each.
	 * @default 0
	 */
	freeTurns?: number;
};

type Reading = {
	/** Turn in which the last part came, and the number of parts that came in it. */
	turn: number;
	parts: number;
	isWaiting: boolean;
};

/** Connections that take turns at being read. */
export class ReadTurns {
	readonly #partsPerTurn: number;
	readonly #freeTurns: number;
	readonly #readings = new WeakMap<Duplex, Reading>();
	/** Connections that are not read, in the order in which they are read again. */
	#waiting: Duplex[] = [];
	#turn = 0;
	#isTurnScheduled = false;
	/** Turns since connections that waited were last read again. */
	#turnsWithoutRead = 0;

	constructor({partsPerTurn = defaultPartsPerTurn, freeTurns = 0}: ReadTurnsOptions = {}) {
		this.#partsPerTurn = partsPerTurn;
		this.#freeTurns = freeTurns;
	}

	/** Number of connections that wait for their turn. */
	get waitingCount(): number {
		return this.#waiting.length;
	}

	/** Counts parts that a connection has sent. */
	recordParts(connection: Duplex, count: number): void {
		const reading = this.#readings.get(connection) ?? this.#addConnection(connection);
		if (reading.turn !== this.#turn) {
			reading.turn = this.#turn;
			reading.parts = 0;
		}

		reading.parts += count;
		if (reading.parts >= this.#partsPerTurn * countedShare) {
			this.#scheduleTurn();
		}

		if (reading.parts >= this.#partsPerTurn && !reading.isWaiting) {
			reading.isWaiting = true;
			this.#waiting.push(connection);
			connection.pause();
		}
	}

	/** Reads a connection on, whatever it sends. */
	release(connection: Duplex): void {
		const reading = this.#readings.get(connection);
		if (reading) {
			reading.isWaiting = false;
		}
	}

	#addConnection(connection: Duplex): Reading {
		const reading: Reading = {turn: this.#turn, parts: 0, isWaiting: false};
		this.#readings.set(connection, reading);
		connection.on('resume', () => {
			// The runtime's HTTP messages resume it as well.
			if (reading.isWaiting) {
				connection.pause();
			}
		});
		return reading;
	}

	#scheduleTurn(): void {
		if (!this.#isTurnScheduled) {
			this.#isTurnScheduled = true;
			setImmediate(() => {
				this.#isTurnScheduled = false;
				this.#startTurn();
			});
		}
	}

	/** Begins a turn, in which connections that wait are read again unless it is left to other work. */
	#startTurn(): void {
		this.#turn += 1;
		if (this.#waiting.length > 0) {
			this.#turnsWithoutRead += 1;
			if (this.#turnsWithoutRead > this.#freeTurns) {
				this.#turnsWithoutRead = 0;
				this.#readWaiting();
			}
		}

		if (this.#waiting.length > 0) {
			this.#scheduleTurn();
		}
	}

	/** Reads again the connections that have waited longest, as many as can be expected to send no more parts than one turn takes. */
	#readWaiting(): void {
		let expectedParts = 0;
		let released = 0;
		for (; released < this.#waiting.length && expectedParts < partsOfWaitingPerTurn; released++) {
			const connection = this.#waiting[released]!;
			const reading = this.#readings.get(connection)!;
			expectedParts += reading.isWaiting && !connection.destroyed ? reading.parts : 0;
			reading.isWaiting = false;
			connection.resume();
		}

		this.#waiting = this.#waiting.slice(released);
	}
}
