/**
 * Callers that flood one instance.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	callerHost, deadlineHeader, floodApiKey, requestIdHeader, routePrefixes, shortPromptFields,
} from '../platform/stand-in/deployment.js';
import {writeInterval, writeWithoutEnd} from './endless-writer.js';
import {type CallerFlood, floodRequestId} from './flood-faults.js';
import {ports} from './ports.js';

/** Largest body of a request in bytes, by the configuration of runs with floods. */
export const maximumBodyBytes = 4_194_304;

const pieceSize = 65_536;
const piece = Buffer.alloc(pieceSize, 'x');

/** Time in milliseconds that callers of a flood state. */
const deadline = 5000;

/** Requests that are pipelined in one write, some 400 a second on each connection, and the length of a header in each. */
const pipelinedRequests = 4;
const paddingLength = 4000;

/** Events of a stream whose caller reads nothing. */
const unreadEvents = 400;

/** Requests on a connection whose caller reads nothing. */
const unreadRequests = 4;

/** Floods whose connections stay open for as long as the flood lasts; more of them would keep the harness busy. */
const keptFloods: ReadonlySet<CallerFlood> = new Set(['idle-connections', 'pipelined', 'unread-answers']);

/** Connections that are opened again in each interval in milliseconds, so that bodies and heads do not end with the instance's time limits. */
const reopenedConnections = 20;
const reopenInterval = 500;

/** Chunks of three bytes in one write. */
const smallChunks = Buffer.from('3\r\nabc\r\n'.repeat(1000));

/** What a caller writes on one connection: a start, and pieces until there are none. */
type Writer = {start: string; nextPiece: () => Uint8Array | undefined};

/** Callers of one run. */
export class CallerFloods {
	readonly #seed: number;
	#count = 0;

	constructor(seed: number) {
		this.#seed = seed;
	}

	/** Floods an address for a time in milliseconds. */
	async play({ip, flood, connections, duration}: {ip: string; flood: CallerFlood; connections: number; duration: number}): Promise<void> {
		const sockets: net.Socket[] = [];
		const open = (count: number) => {
			for (let number = 0; number < count; number++) {
				sockets.push(this.#open(ip, flood));
			}
		};

		const endsAt = performance.now() + duration;
		open(connections);
		while (performance.now() < endsAt) {
			await sleep(Math.min(reopenInterval, Math.max(writeInterval, endsAt - performance.now()))); // eslint-disable-line no-await-in-loop
			if (!keptFloods.has(flood)) {
				open(Math.min(connections, reopenedConnections));
			}
		}

		for (const socket of sockets) {
			socket.destroy();
		}
	}

	#open(ip: string, flood: CallerFlood): net.Socket {
		// Nothing listens for data, so that the socket reads no more than its buffer.
		const socket = net.connect(ports.callers, ip).on('error', () => undefined);
		socket.pause();
		const {start, nextPiece} = this.#writer(flood);
		if (start !== '') {
			socket.write(start);
		}

		writeWithoutEnd(socket, nextPiece);
		return socket;
	}

	#writer(flood: CallerFlood): Writer {
		const nothing = () => undefined;
		const pipelined = () => Buffer.from(Array.from({length: pipelinedRequests}, () => this.#head('GET', `${routePrefixes.idempotent}x`, [padding])).join(''));
		const streams = () => Array.from({length: unreadRequests}, () => `${this.#head('POST', `${routePrefixes.stream}${unreadEvents}`, ['Content-Length: 4', ...shortPromptFields])}body`).join('');
		const writers: Readonly<Record<CallerFlood, () => Writer>> = {
			pipelined: () => ({start: '', nextPiece: pipelined}),
			'unfinished-bodies': () => ({start: this.#head('POST', `${routePrefixes.nonIdempotent}x`, [`Content-Length: ${maximumBodyBytes}`]), nextPiece: bodyPieces(maximumBodyBytes - 1)}),
			'chunked-bodies': () => ({start: this.#head('POST', `${routePrefixes.nonIdempotent}x`, ['Transfer-Encoding: chunked']), nextPiece: () => smallChunks}),
			'whole-bodies': () => ({start: this.#head('POST', `${routePrefixes.stream}x`, [`Content-Length: ${maximumBodyBytes}`, ...shortPromptFields]), nextPiece: bodyPieces(maximumBodyBytes)}),
			'endless-heads': () => ({start: `GET ${routePrefixes.idempotent}x HTTP/1.1\r\nHost: ${callerHost}\r\nX-Long: `, nextPiece: () => headPiece}),
			'idle-connections': () => ({start: '', nextPiece: nothing}),
			'unread-answers': () => ({start: streams(), nextPiece: nothing}),
		};
		return writers[flood]();
	}

	#head(method: string, target: string, fields: readonly string[] = []): string {
		const id = floodRequestId(String(this.#seed), this.#count++);
		return [`${method} ${target} HTTP/1.1`,
			`Host: ${callerHost}`,
			`Authorization: Bearer ${floodApiKey}`,
			`${requestIdHeader}: ${id}`,
			`${deadlineHeader}: ${deadline}`,
			...fields,
			'',
			''].join('\r\n');
	}
}

const padding = `X-Padding: ${'x'.repeat(paddingLength)}`;
const headPiece = Buffer.alloc(100, 'x');

/** So many bytes in pieces. */
function bodyPieces(length: number): Writer['nextPiece'] {
	let left = length;
	return () => {
		const next = left === 0 ? undefined : piece.subarray(0, Math.min(left, pieceSize));
		left -= next?.length ?? 0;
		return next;
	};
}
