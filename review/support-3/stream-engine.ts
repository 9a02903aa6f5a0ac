/**
 * An engine whose streams have any kind of ids. It answers nothing but streams.
 *
 * @module
 */
import http from 'node:http';
import type {AddressInfo} from 'node:net';

/** What a stream consists of. */
export type StreamPlan = {
	/** Events of a whole stream. */
	events: number;
	/** Text of the id of an event, by its number from 1. */
	idOf: (number: number) => string;
	/** Time in milliseconds between two events. */
	interval: number;
};

/** Text of an event. */
export function eventOf({idOf}: StreamPlan, number: number): string {
	return `id: ${idOf(number)}\ndata: piece ${number}\n\n`;
}

/** One engine. A stream that is asked for with `Last-Event-Id` goes on behind that event. */
export class StreamEngine {
	readonly #id: string;
	/** An address of its own, so that nobody takes its port while it is away. */
	readonly #ip: string;
	readonly #plan: StreamPlan;
	readonly #onArrival: (requestId: string, lastEventId: string | undefined) => void;
	readonly #open = new Set<http.ServerResponse>();
	#server: http.Server | undefined;
	#port = 0;

	constructor({id, ip}: {id: string; ip: string}, plan: StreamPlan, onArrival: (requestId: string, lastEventId: string | undefined) => void) {
		this.#id = id;
		this.#ip = ip;
		this.#plan = plan;
		this.#onArrival = onArrival;
	}

	/** Number of streams that have not ended. */
	get openCount(): number {
		return this.#open.size;
	}

	/** Listens, on the port that it had before if it had one. @returns its address, as "IP:port". */
	async listen(): Promise<string> {
		const server = http.createServer((request, response) => {
			request.resume();
			request.on('end', () => {
				this.#handle(request, response);
			});
		});
		this.#server = server;
		await new Promise<void>(resolve => {
			server.listen(this.#port, this.#ip, resolve);
		});
		this.#port = (server.address() as AddressInfo).port; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		return `${this.#ip}:${this.#port}`;
	}

	/** Ends as a process that crashes: it is not reached any more, and its connections are reset. */
	crash(): void {
		this.#server?.close();
		for (const response of this.#open) {
			response.socket?.resetAndDestroy();
		}

		this.#server?.closeAllConnections();
	}

	#handle(request: http.IncomingMessage, response: http.ServerResponse): void {
		const {headers} = request;
		if ((headers['carobquay-expected-instance'] ?? this.#id) !== this.#id) {
			response.writeHead(421, {'Carobquay-Instance-Id': this.#id}).end();
			return;
		}

		if (request.url === '/api/order') {
			response.writeHead(200).end('{"free":1}');
			return;
		}

		const requestId = String(headers['carobquay-request-id']);
		const lastEventId = headers['last-event-id'];
		this.#onArrival(requestId, typeof lastEventId === 'string' ? lastEventId : undefined);
		const {events, idOf, interval} = this.#plan;
		const numbers = Array.from({length: events}, (_, index) => index + 1);
		const known = numbers.find(number => idOf(number) === lastEventId) ?? 0;
		const rest = numbers.slice(known);
		response.writeHead(200, {'Content-Type': 'text/event-stream', 'Carobquay-Request-Id': requestId, 'Carobquay-Server-Stamp': `${this.#id}.${requestId}`});
		this.#open.add(response);
		const timer = setInterval(() => {
			const number = rest.shift();
			if (number === undefined) {
				response.end();
			} else {
				response.write(eventOf(this.#plan, number));
			}
		}, interval);
		response.once('close', () => {
			clearInterval(timer);
			this.#open.delete(response);
		});
	}
}
