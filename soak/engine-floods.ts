/**
 * An engine, or the store, that sends something without end in place of its answer.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type net from 'node:net';
import {loadHeader, requestIdHeader, signatureHeader} from '../platform/stand-in/deployment.js';
import {plainResponseBody} from '../platform/stand-in/engine.js';
import {eventText} from '../platform/stand-in/events.js';
import {writeWithoutEnd} from './endless-writer.js';
import type {EngineFlood, StoreFlood} from './flood-faults.js';

/** What comes once, and what comes after it without end. */
type EndlessAnswer = {start: string; nextPiece: () => Uint8Array};

/** Bytes that are written at once. */
const pieceSize = 65_536;
const filler = Buffer.alloc(pieceSize, 'x');
const chunk = Buffer.from(`${pieceSize.toString(16)}\r\n${filler.toString()}\r\n`);
const provisionalResponses = Buffer.from('HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n'.repeat(1000));
const headers = Buffer.from('X-More: 1\r\n'.repeat(6000));
const streamType = 'Content-Type: text/event-stream\r\n';

const eventsPerPiece = 1000;

/** Events with increasing numbers, kept for all floods. */
const eventPieces: Uint8Array[] = [];

function eventPiece(number: number): Uint8Array {
	eventPieces[number] ??= Buffer.from(Array.from({length: eventsPerPiece}, (_, index) => eventText((number * eventsPerPiece) + index + 1)).join(''));
	return eventPieces[number];
}

/** Returns the events from the first one on. */
function nextEvents(): () => Uint8Array {
	let number = 0;
	return () => eventPiece(number++);
}

/** @param head - Status line and fields, without the empty line. @param content - The whole answer as it should be. */
function endlessAnswer(flood: EngineFlood | StoreFlood, head: string, content: string): EndlessAnswer {
	const nextPiece = () => filler;
	const chunkedStart = `${head}Transfer-Encoding: chunked\r\n\r\n`;
	const streamHead = `${head}${head.includes('Content-Type') ? '' : streamType}\r\n`;
	const contentChunk = `${Buffer.byteLength(content).toString(16)}\r\n${content}\r\n`;
	const answers: Readonly<Record<EngineFlood | StoreFlood, () => EndlessAnswer>> = {
		'status-line': () => ({start: 'HTTP/1.1 200 ', nextPiece}),
		header: () => ({start: `${head}X-Long: `, nextPiece}),
		headers: () => ({start: head, nextPiece: () => headers}),
		provisional: () => ({start: '', nextPiece: () => provisionalResponses}),
		body: () => ({start: `${head}\r\n${content}`, nextPiece}),
		chunks: () => ({start: `${chunkedStart}${contentChunk}`, nextPiece: () => chunk}),
		'chunk-extension': () => ({start: `${chunkedStart}${contentChunk}5;x=`, nextPiece}),
		trailers: () => ({start: `${chunkedStart}${contentChunk}0\r\n`, nextPiece: () => headers}),
		event: () => ({start: `${streamHead}id: 1\ndata: `, nextPiece}),
		events: () => ({start: streamHead, nextPiece: nextEvents()}),
		'after-answer': () => ({start: `${head}Content-Length: ${Buffer.byteLength(content)}\r\n\r\n${content}`, nextPiece}),
	};
	return answers[flood]();
}

/** A call that has arrived whole. */
export type ArrivedCall = {url: string; requestId: string; customer: string | undefined; hasPrompt: boolean; body: string};

/** What a call is answered: the whole answer, and whether it comes with something without end. */
export type FloodAnswer = {content: string; isEndless: boolean};

/** A server that may send without end; one for each flood. */
export class EndlessServer {
	readonly #server: http.Server;

	constructor(flood: EngineFlood | StoreFlood, answer: (call: ArrivedCall) => FloodAnswer) {
		this.#server = http.createServer((request, response) => {
			let body = '';
			request.setEncoding('utf8').on('data', (text: string) => {
				body += text;
			});
			request.on('error', () => undefined);
			request.on('end', () => {
				const requestId = String(request.headers['carobquay-request-id'] ?? '');
				const hasPrompt = request.headers['carobquay-token-counts'] !== undefined;
				const {content, isEndless} = answer({
					url: request.url ?? '', requestId, customer: request.headers['carobquay-tenant']?.toString(), hasPrompt, body,
				});
				const fields = {
					[signatureHeader]: 'flood', [requestIdHeader]: requestId, [loadHeader]: '1,0,8', ...(hasPrompt && {'Content-Type': 'text/event-stream'}),
				};
				if (isEndless) {
					const head = `HTTP/1.1 200 OK\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}`;
					sendWithoutEnd(request.socket, endlessAnswer(flood, head, content));
				} else {
					response.writeHead(200, fields).end(content);
				}
			});
		});
	}

	async listen(): Promise<number> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : 0;
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

/** The whole answer of a stand-in engine to a request. */
export function wholeAnswer({requestId, hasPrompt}: ArrivedCall, events: number): string {
	return hasPrompt ? Array.from({length: events}, (_, index) => eventText(index + 1)).join('') : plainResponseBody(requestId);
}

function sendWithoutEnd(socket: net.Socket, {start, nextPiece}: EndlessAnswer): void {
	socket.on('error', () => undefined);
	socket.write(start);
	writeWithoutEnd(socket, nextPiece);
}
