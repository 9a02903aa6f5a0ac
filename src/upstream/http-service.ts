/**
 * HTTP client of a plain service.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {CarobquayError} from '../errors/errors.js';
import {serviceHeaders, serviceLoadPath, serviceLoadShape} from './http-service-protocol.js';
import {HttpUpstream, type HttpUpstreamOptions, InactivityTimer} from './http-upstream.js';
import type {
	ServiceAnswer, ServiceClient, ServiceLoad, ServiceRequest,
} from './service.js';

/** Maximum size of an answer in bytes. */
const maximumAnswerBytes = 16 * 1_048_576;

/** Options of a service's HTTP client. A service sends no heartbeats, so its inactivity timeout must exceed its longest call. */
export type HttpServiceOptions = HttpUpstreamOptions & {
	/**
	 * Path of the load report endpoint.
	 * @default '/load'
	 */
	loadPath?: string;
};

/** Time in milliseconds without any byte from a service after which a call fails with error 4004. */
const defaultInactivityTimeout = 10_000;

/** HTTP client of one service. A call that its caller aborts throws the abort reason if that is a numbered error, otherwise 4009. */
export class HttpService implements ServiceClient {
	readonly #upstream: HttpUpstream;
	readonly #loadPath: string;

	constructor({loadPath = serviceLoadPath, ...options}: HttpServiceOptions) {
		this.#upstream = new HttpUpstream({inactivityTimeout: defaultInactivityTimeout, ...options});
		this.#loadPath = loadPath;
	}

	get name(): string {
		return this.#upstream.name;
	}

	async call(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
		const inactivityTimer = new InactivityTimer(Math.min(this.#upstream.inactivityTimeout, request.timeRemaining));
		let response: Dispatcher.ResponseData | undefined;
		try {
			response = await this.#upstream.sendRequest({
				method: request.method, path: request.path, headers: toHeaders(request), body: hasBody(request) ? request.body : undefined, signal, inactivityTimer,
			}, true);
			this.#checkRequestIdentity(request, response.headers);
			return {
				requestId: request.requestId,
				attempt: request.attempt,
				status: response.statusCode,
				contentType: singleHeader(response.headers, 'content-type'),
				body: await this.#readAll(response, inactivityTimer),
			};
		} catch (error) {
			throw this.#upstream.toError(error, {inactivityTimer, signal});
		} finally {
			inactivityTimer.stop();
			response?.body.destroy();
		}
	}

	async fetchLoad(signal?: AbortSignal): Promise<ServiceLoad> {
		return this.#upstream.sendControlRequest({method: 'GET', path: this.#loadPath, signal}, async ({statusCode, body}) => {
			if (statusCode !== 200) {
				await body.dump();
				throw new CarobquayError('4005', {message: `service "${this.name}" answered a load request with status ${statusCode}`});
			}

			return serviceLoadShape.parse(await body.json());
		});
	}

	/** Closes all connections at once; running calls throw 4003. */
	async close(): Promise<void> {
		await this.#upstream.close();
	}

	/** Checks that a service which repeats the request id or the attempt in its answer repeats those of this call. */
	#checkRequestIdentity({requestId, attempt}: ServiceRequest, headers: IncomingHttpHeaders): void {
		const answeredId = singleHeader(headers, serviceHeaders.requestId) ?? requestId;
		const answeredAttempt = singleHeader(headers, serviceHeaders.attempt) ?? `${attempt}`;
		if (answeredId !== requestId || answeredAttempt !== `${attempt}`) {
			throw new CarobquayError('4003', {
				message: `service "${this.name}" sent the answer to attempt ${answeredAttempt} of request "${answeredId}" on a call of attempt ${attempt} of request "${requestId}"`,
			});
		}
	}

	async #readAll(response: Dispatcher.ResponseData, inactivityTimer: InactivityTimer): Promise<Uint8Array> {
		const chunks: Uint8Array[] = [];
		const received: AsyncIterable<Uint8Array> = response.body;
		let length = 0;
		for await (const chunk of received) {
			inactivityTimer.restart();
			length += chunk.byteLength;
			if (length > maximumAnswerBytes) {
				throw new CarobquayError('4003', {message: `service "${this.name}" sent an answer of more than ${maximumAnswerBytes} bytes`});
			}

			chunks.push(chunk);
		}

		return Buffer.concat(chunks);
	}
}

function hasBody({method, body}: ServiceRequest): boolean {
	return method !== 'GET' || body.length > 0;
}

function toHeaders({requestId, attempt, timeRemaining, idempotencyKey, contentType}: ServiceRequest): Record<string, string> {
	return {
		[serviceHeaders.requestId]: requestId,
		[serviceHeaders.attempt]: `${attempt}`,
		[serviceHeaders.deadline]: `${Math.round(timeRemaining)}`,
		...(idempotencyKey !== undefined && {[serviceHeaders.idempotencyKey]: idempotencyKey}),
		...(contentType !== undefined && {'content-type': contentType}),
	};
}

function singleHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}
