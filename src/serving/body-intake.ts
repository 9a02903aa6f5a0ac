/**
 * Shares the event loop among callers whose bodies come in small chunks.
 *
 * The runtime reads up to 2 MB of a connection in a row and calls back for each chunk of a body, so that a few connections
 * with chunks of one byte would keep the event loop for seconds from all other work.
 *
 * @module
 */
import type {Socket} from 'node:net';

/** Chunks of one connection in one turn of the event loop from which on it is read no further in this turn. */
const chunksPerTurn = 512;

/** Chunks in one turn of all connections that are read again. */
const chunksOfHeldPerTurn = 4096;

type Intake = {
	/** Turn in which the last chunk came, and the number of chunks that came in it. */
	turn: number;
	chunks: number;
	isHeld: boolean;
};

/** Connections that send bodies. */
export class BodyIntake {
	readonly #intakes = new WeakMap<Socket, Intake>();
	/** Connections that are not read, in the order in which they are read again. */
	#held: Socket[] = [];
	#turn = 0;
	#isTurnScheduled = false;

	/** Number of connections that wait for their turn. */
	get heldCount(): number {
		return this.#held.length;
	}

	/** Counts a chunk of a body. */
	recordChunk(socket: Socket): void {
		const intake = this.#intakes.get(socket) ?? this.#addConnection(socket);
		if (intake.turn !== this.#turn) {
			intake.turn = this.#turn;
			intake.chunks = 0;
		}

		intake.chunks += 1;
		this.#scheduleTurn();
		if (intake.chunks >= chunksPerTurn && !intake.isHeld) {
			intake.isHeld = true;
			this.#held.push(socket);
			socket.pause();
		}
	}

	/** Reads a connection on, whatever it sends. */
	release(socket: Socket): void {
		const intake = this.#intakes.get(socket);
		if (intake) {
			intake.isHeld = false;
		}
	}

	#addConnection(socket: Socket): Intake {
		const intake: Intake = {turn: this.#turn, chunks: 0, isHeld: false};
		this.#intakes.set(socket, intake);
		socket.on('resume', () => {
			// Also the bodies of requests resume it.
			if (intake.isHeld) {
				socket.pause();
			}
		});
		return intake;
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

	/** Reads again the connections that have waited longest, as many as can be expected to send no more chunks than one turn takes. */
	#startTurn(): void {
		this.#turn += 1;
		let expectedChunks = 0;
		let released = 0;
		for (; released < this.#held.length && expectedChunks < chunksOfHeldPerTurn; released++) {
			const socket = this.#held[released]!;
			const intake = this.#intakes.get(socket)!;
			expectedChunks += intake.isHeld && !socket.destroyed ? intake.chunks : 0;
			intake.isHeld = false;
			socket.resume();
		}

		this.#held = this.#held.slice(released);
		if (this.#held.length > 0) {
			this.#scheduleTurn();
		}
	}
}
