/**
 * Clients with kept connections: each sends one request at a time and notes what comes back.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {clientHost, clientKey, routes} from './documents.js';

/** Kinds of request. */
export type RequestClass = keyof typeof routes;

/** What became of a request. */
export type Outcome = {
	requestId: string;
	requestClass: RequestClass;
	machine: string;
	/** Monotonic time in milliseconds at which it was sent, and at which it was over. */
	sentAt: number;
	endedAt: number;
	/** Whether its connection had carried an answer before. */
	isKeptConnection: boolean;
	/** 0 where no answer came. */
	status: number;
	isSigned: boolean;
	/** Whether the answer was received to its end. */
	isComplete: boolean;
	body: string;
	/** Why the answer is not complete. */
	failure: string | undefined;
};

/** One client of one machine. */
export class Client {
	readonly #machine: {name: string; ip: string; front: number};
	readonly #agent = new http.Agent({keepAlive: true, maxSockets: 1, timeout: 60_000});

	constructor(machine: {name: string; ip: string; front: number}) {
		this.#machine = machine;
	}

	/** Sends one request. Resolves when it is over, or when the client has given up. @param deadline - In milliseconds. */
	async send(requestClass: RequestClass, deadline: number, promptTokens?: number): Promise<Outcome> {
		const requestId = randomBytes(8).toString('hex');
		const {name, ip, front} = this.#machine;
		const outcome: Outcome = {
			requestId, requestClass, machine: name, sentAt: performance.now(), endedAt: 0, isKeptConnection: false, status: 0, isSigned: false, isComplete: false,
			body: '', failure: undefined,
		};
		return new Promise(resolve => {
			const end = (failure?: string) => {
				clearTimeout(timer);
				if (outcome.endedAt === 0) {
					outcome.endedAt = performance.now();
					outcome.failure = failure;
					resolve(outcome);
				}
			};

			const request = http.request({
				host: ip, port: front, method: requestClass === 'safe' ? 'GET' : 'POST', path: `${routes[requestClass].prefix}2f`, agent: this.#agent,
				headers: {
					Host: clientHost,
					'Carobquay-Request-Id': requestId,
					...(promptTokens === undefined
						? {}
						: {
							'Carobquay-Model': 'm', 'Carobquay-Token-Counts': `${promptTokens},1000`,
							'Carobquay-Prompt-Prefix': `5c1e07a2:40,${requestId.slice(0, 8)}:${promptTokens - 40}`,
						}),
					'Carobquay-Deadline-Milliseconds': String(deadline),
					Authorization: `Bearer ${clientKey}`,
				},
			});
			const timer = setTimeout(() => {
				request.destroy();
				end('deadline of the client');
			}, deadline);
			request.on('socket', () => {
				outcome.isKeptConnection = request.reusedSocket;
			});
			request.on('error', error => {
				end(error.message);
			});
			request.on('response', response => {
				outcome.status = response.statusCode ?? 0;
				outcome.isSigned = response.headers['carobquay-server-stamp'] !== undefined;
				response.on('data', (bytes: Uint8Array) => {
					outcome.body += Buffer.from(bytes).toString('latin1');
				});
				response.on('error', error => {
					end(error.message);
				});
				response.on('end', () => {
					outcome.isComplete = response.complete;
					end(response.complete ? undefined : 'connection closed within the answer');
				});
			});
			request.end(requestClass === 'safe' ? undefined : 'x'.repeat(600));
		});
	}

	close(): void {
		this.#agent.destroy();
	}
}
