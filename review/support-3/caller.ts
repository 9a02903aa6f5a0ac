/**
 * A client that sends single requests, each on a connection of its own.
 *
 * @module
 */
import http from 'node:http';
import {ports} from './instance.js';

/** What became of a request. Times are monotonic, in milliseconds. */
export type Answer = {
	sentAt: number;
	endedAt: number;
	/** 0 where no answer came. */
	status: number;
	/** Whether the framing says that the answer is whole. */
	isWhole: boolean;
	body: string;
	/** Why the answer is not whole; undefined if it is. */
	failure: string | undefined;
};

/** One request. */
export type CallerRequest = {
	ip: string;
	method: string;
	path: string;
	headers: Record<string, string>;
	body?: string;
	/** Time in milliseconds after which the client leaves. */
	patience: number;
};

/** Sends a request. Resolves when it is over. */
export async function send({ip, method, path, headers, body, patience}: CallerRequest): Promise<Answer> {
	const answer: Answer = {
		sentAt: performance.now(), endedAt: 0, status: 0, isWhole: false, body: '', failure: 'no answer',
	};
	return new Promise(resolve => {
		const end = (failure?: string) => {
			clearTimeout(timer);
			if (answer.endedAt === 0) {
				answer.endedAt = performance.now();
				answer.failure = failure;
				resolve(answer);
			}
		};

		const request = http.request({
			host: ip, port: ports.callers, method, path, headers, agent: false,
		}, response => {
			answer.status = response.statusCode ?? 0;
			response.setEncoding('latin1');
			response.on('data', (text: string) => {
				answer.body += text;
			});
			response.on('error', error => {
				end(error.message);
			});
			response.on('end', () => {
				answer.isWhole = response.complete;
				end(response.complete ? undefined : 'cut');
			});
		});
		const timer = setTimeout(() => {
			request.destroy();
			end('the client has left');
		}, patience);
		request.on('error', error => {
			end(error.message);
		});
		request.end(body);
	});
}
