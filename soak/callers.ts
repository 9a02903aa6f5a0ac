/**
 * Callers that send requests over kept connections and note what comes back.
 *
 * @module
 */
import http from 'node:http';
import {callerHeaders, routePrefixes, signatureHeader} from '../platform/stand-in/deployment.js';
import {ports} from './ports.js';

/** Kinds of request. `large` needs the memory of several engines. */
export type CallKind = 'stream' | 'large' | 'idempotent' | 'nonIdempotent' | 'added';

/** Kinds of request by their share. */
const smallKinds: readonly CallKind[] = ['stream', 'stream', 'stream', 'idempotent', 'idempotent', 'nonIdempotent', 'nonIdempotent', 'added'];

/** Kinds of request, one in so many of them large; two large prompts at once fill the memory of all engines. */
export function kindsWithLarge(interval: number): readonly CallKind[] {
	return [...Array.from({length: interval - 1}, (_, index) => smallKinds[index % smallKinds.length]!), 'large'];
}

/** Time in milliseconds that callers wait, if nothing else is said. */
const defaultDeadline = 5000;

/** What became of a request. */
export type Call = {
	id: string;
	kind: CallKind;
	instance: string;
	/** In milliseconds. */
	deadline: number;
	startedAt: number;
	/** When the last byte of the request was sent. */
	sentAt: number;
	/** When the answers before it on its connection had ended. */
	turnAt: number;
	endedAt: number;
	/** When its caller read that an answer before it is the last on the connection; infinite if it did not. */
	closeReadAt: number;
	/** Time in milliseconds by which its caller may notice late what comes. */
	readDelay: number;
	isChunked: boolean;
	/** Events of its stream; undefined for those of all streams of the run. */
	events: number | undefined;
	/** 0 where no answer came. */
	status: number;
	signed: boolean;
	/** Whether the answer's framing says that it is whole. */
	whole: boolean;
	body: string;
	/** Why no answer came. */
	failure: string | undefined;
};

/** Tokens of the prompts; an engine's memory holds 100,000. */
export const promptTokens: Readonly<Partial<Record<CallKind, number>>> = {stream: 3000, large: 150_000};

export const targets: Readonly<Record<CallKind, {method: string; path: string}>> = {
	stream: {method: 'POST', path: routePrefixes.stream},
	large: {method: 'POST', path: routePrefixes.stream},
	idempotent: {method: 'GET', path: routePrefixes.idempotent},
	nonIdempotent: {method: 'POST', path: routePrefixes.nonIdempotent},
	added: {method: 'GET', path: routePrefixes.added},
};

/** Connections of all callers. */
const agent = new http.Agent({keepAlive: true, maxSockets: 200});

/** What sets a request apart from others of its kind. */
export type CallDetails = {
	/** Last part of the path. */
	name?: string;
	/** Ids of the parts of its prompt. */
	promptParts?: readonly string[];
	/** In milliseconds. */
	deadline?: number;
};

/** A request that is sent now and has no answer yet. */
export function newCall(fields: Pick<Call, 'id' | 'kind' | 'instance' | 'deadline'> & Partial<Call>): Call {
	const now = performance.now();
	return {
		startedAt: now, sentAt: now, turnAt: now, endedAt: 0, closeReadAt: Number.POSITIVE_INFINITY,
		readDelay: 0, isChunked: false, events: undefined, status: 0, signed: false, whole: false, body: '', failure: undefined,
		...fields,
	};
}

/** Sends one request and resolves when it is over. @param id - Unique among all requests of the run. */
export async function call(kind: CallKind, id: string, {name, ip}: {name: string; ip: string}, details: CallDetails = {}): Promise<Call> {
	const {deadline = defaultDeadline} = details;
	const outcome = newCall({
		id, kind, instance: name, deadline,
	});
	const {method, path} = targets[kind];
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
			host: ip, port: ports.callers, method, path: `${path}${details.name ?? 'x'}`, agent,
			headers: callerHeaders(id, deadline, promptTokens[kind], details.promptParts),
		});
		const timer = setTimeout(() => {
			request.destroy();
			end('deadline');
		}, deadline + 500);
		request.on('error', error => {
			end(error.message);
		});
		request.on('response', response => {
			outcome.status = response.statusCode ?? 0;
			outcome.signed = response.headers[signatureHeader] !== undefined;
			response.setEncoding('latin1');
			response.on('data', (text: string) => {
				outcome.body += text;
			});
			response.on('error', error => {
				end(error.message);
			});
			response.on('end', () => {
				outcome.whole = response.complete;
				end();
			});
		});
		request.end(method === 'POST' ? 'body' : undefined);
	});
}

/** Closes the callers' connections. */
export function closeCallers(): void {
	agent.destroy();
}
