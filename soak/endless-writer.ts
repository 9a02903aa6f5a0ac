/**
 * Writes to connections without end, at a bounded rate over all of them, so that the harness itself is not busy with it.
 *
 * @module
 */
import type net from 'node:net';

/** Interval in milliseconds between two writes. */
export const writeInterval = 10;

/** Bytes that are written in each interval to all connections together, some 150 MB a second. */
const bytesPerInterval = 1_572_864;

let interval = 0;
let bytesLeft = bytesPerInterval;

/** Whether a piece may be written in this interval. */
function takeBytes(length: number): boolean {
	const now = Math.floor(performance.now() / writeInterval);
	if (now !== interval) {
		interval = now;
		bytesLeft = bytesPerInterval;
	}

	const isGranted = bytesLeft > 0;
	bytesLeft -= isGranted ? length : 0;
	return isGranted;
}

/** Writes a piece, and again while the connection takes it, until the connection has ended. @param nextPiece - Returns undefined when nothing is left. */
export function writeWithoutEnd(socket: net.Socket, nextPiece: () => Uint8Array | undefined): void {
	let piece = nextPiece();
	const timer = setInterval(() => {
		if (piece === undefined || !socket.writable) {
			clearInterval(timer);
		} else if (!socket.writableNeedDrain && takeBytes(piece.length)) {
			socket.write(piece);
			piece = nextPiece();
		}
	}, writeInterval);
	socket.on('close', () => {
		clearInterval(timer);
	});
}
