/**
 * Stand-in of an engine that follows the users' pages: plain answers and event streams, signed and with the request's id.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {StandInStore} from '../../platform/stand-in/store.js';

/** Text of one event of a stream. */
export function eventText(number: number): string {
	return `id: ${number}\ndata: ${'token '.repeat(8)}${number}\n\n`;
}

/** Body of the answer to a request without a prompt. */
export function plainBody(requestId: string): string {
	return `answer to ${requestId} `.padEnd(800, '.');
}

/** What happens at an engine, for the record. */
export type EngineEvent = {engine: string; kind: 'run' | 'answered' | 'left' | 'garbled'; requestId: string; detail?: string};

/** Options of an engine. Times are in milliseconds. */
export type EngineOptions = {
	id: string;
	service: string;
	zone: string;
	store: StandInStore;
	record: (event: EngineEvent) => void;
	/** Time until a plain answer. */
	plainTime: number;
	/** Time until the first event of a stream, with which its head is sent, and between two events. */
	firstEventTime: number;
	eventInterval: number;
	eventCount: number;
	/**
	 * Bytes that are sent in place of an answer.
	 * @default the answer is sent
	 */
	spoil?: (requestId: string) => string | undefined;
};

/** One engine, which registers itself in the store. */
export class Engine {
	readonly #options: EngineOptions;
	readonly #startedAt = Date.now();
	#stamps = 0;
	#running = 0;
	readonly #server = http.createServer({keepAliveTimeout: 2000}, (request, response) => {
		const chunks: Uint8Array[] = [];
		request.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			this.#handle(request, response, Buffer.concat(chunks));
		});
	});

	constructor(options: EngineOptions) {
		this.#options = options;
	}

	/** Address as "IP:port". */
	get address(): string {
		const address = this.#server.address();
		return `127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`;
	}

	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.register('ready');
	}

	/** Writes the entry of this engine. */
	register(state: 'ready' | 'draining'): void {
		const {id, service, zone, store} = this.#options;
		store.put('servers', id, {
			service, address: this.address, zone, version: 'v1', slots: 11, state,
			cold_remaining_ms: 0, stage: 'both', models: [{name: 'm', version: 1, adapters: []}], sequence: 1, born: this.#startedAt,
		});
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#handle(request: http.IncomingMessage, response: http.ServerResponse, body: Uint8Array): void {
		const {id, record} = this.#options;
		if (request.url === '/api/order') {
			response.writeHead(200, {'Content-Type': 'application/json'}).end('{"free":300000}');
			return;
		}

		if (request.url === '/health') {
			response.writeHead(200, {'Carobquay-Instance-Id': id, 'Carobquay-Server-Load': `${this.#running},0,11`}).end();
			return;
		}

		const expected = request.headers['carobquay-expected-instance'];
		if (expected !== undefined && expected !== id) {
			response.writeHead(421, {'Carobquay-Instance-Id': id}).end();
			return;
		}

		const requestId = String(request.headers['carobquay-request-id'] ?? '');
		if (requestId === '') {
			response.writeHead(400, {'Carobquay-Not-Executed': '1'}).end();
			return;
		}

		record({
			engine: id, kind: 'run', requestId, detail: `${request.method} ${request.url} ${body.length} bytes`,
		});
		this.#running += 1;
		response.once('close', () => {
			this.#running -= 1;
			record({engine: id, kind: response.writableFinished ? 'answered' : 'left', requestId});
		});
		this.#stamps += 1;
		const headers = {
			'Carobquay-Request-Id': requestId, 'Carobquay-Server-Stamp': `${id}.${this.#stamps}`, 'Carobquay-Server-Load': `${this.#running},0,11`,
		};
		if (request.headers['carobquay-token-counts'] === undefined) {
			this.#sendPlain(response, requestId, headers);
		} else {
			this.#sendStream(request, response, requestId, headers);
		}
	}

	#sendPlain(response: http.ServerResponse, requestId: string, headers: Record<string, string>): void {
		setTimeout(() => {
			if (!this.#isSpoilt(response, requestId)) {
				const body = plainBody(requestId);
				response.writeHead(200, {...headers, 'Content-Length': String(body.length)}).end(body);
			}
		}, this.#options.plainTime);
	}

	#sendStream(request: http.IncomingMessage, response: http.ServerResponse, requestId: string, headers: Record<string, string>): void {
		const {firstEventTime, eventInterval, eventCount} = this.#options;
		let number = Number(request.headers['last-event-id'] ?? 0);
		const send = () => {
			number += 1;
			response.write(eventText(number));
			if (number < eventCount) {
				timer = setTimeout(send, eventInterval);
			} else {
				response.end();
			}
		};

		let timer = setTimeout(() => {
			if (!this.#isSpoilt(response, requestId)) {
				response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'});
				send();
			}
		}, firstEventTime);
		response.once('close', () => {
			clearTimeout(timer);
		});
	}

	/** Sends other bytes in place of the answer where that is asked for, and closes the connection. */
	#isSpoilt(response: http.ServerResponse, requestId: string): boolean {
		const {id, record, spoil} = this.#options;
		const bytes = response.destroyed ? undefined : spoil?.(requestId);
		if (bytes === undefined) {
			return false;
		}

		record({
			engine: id, kind: 'garbled', requestId, detail: JSON.stringify(bytes.slice(0, 60)),
		});
		response.socket?.end(bytes, 'latin1');
		return true;
	}
}
