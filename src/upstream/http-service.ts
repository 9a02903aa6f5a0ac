/**
 * Client of a plain service over HTTP.
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

/** Greatest size of an answer in bytes. */
const maximumAnswerBytes = 16 * 1_048_576;

/** Settings of a service's client. A service sends no heartbeats: its silence limit must exceed its longest call. */
export type HttpServiceOptions = HttpUpstreamOptions & {
	/**
	 * Path of the load report.
	 * @default '/load'
	 */
	loadPath?: string;
};

/** Time in milliseconds without any byte from a service after which it counts as silent. */
const defaultSilenceLimit = 10_000;

/** A service over HTTP. A call that its caller aborts throws 4009, or the abort's reason where that is numbered. */
export class HttpService implements ServiceClient {
	readonly #upstream: HttpUpstream;
	readonly #loadPath: string;

	constructor({loadPath = serviceLoadPath, ...options}: HttpServiceOptions) {
		this.#upstream = new HttpUpstream({inactivityTimeout: defaultSilenceLimit, ...options});
		this.#loadPath = loadPath;
	}

	get name(): string {
		return this.#upstream.name;
	}

	async call(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
		const watch = new InactivityTimer(Math.min(this.#upstream.inactivityTimeout, request.timeRemaining));
		let response: Dispatcher.ResponseData | undefined;
		try {
			response = await this.#upstream.sendRequest({
				method: request.method, path: request.path, headers: toHeaders(request), body: hasBody(request) ? request.body : undefined, signal, inactivityTimer: watch,
			}, true);
			this.#checkRequestIdentity(request, response.headers);
			return {
				requestId: request.requestId,
				attempt: request.attempt,
				status: response.statusCode,
				contentType: singleHeader(response.headers, 'content-type'),
				body: await this.#readAll(response, watch),
			};
		} catch (error) {
			throw this.#upstream.toError(error, {watch, signal});
		} finally {
			watch.stop();
			response?.body.destroy();
		}
	}

	async fetchLoad(signal?: AbortSignal): Promise<ServiceLoad> {
		return this.#upstream.sendControlRequest({method: 'GET', path: this.#loadPath, signal}, async ({statusCode, body}) => {
			if (statusCode !== 200) {
				await body.dump();
				throw new CarobquayError('4005', {message: `service "${this.name}" answered ${statusCode} for its load`});
			}

			return serviceLoadShape.parse(await body.json());
		});
	}

	/** Closes all connections at once; calls under way throw 4003. */
	async close(): Promise<void> {
		await this.#upstream.close();
	}

	/** Services that repeat the request's id must repeat the right one. */
	#checkRequestIdentity({requestId, attempt}: ServiceRequest, headers: IncomingHttpHeaders): void {
		const answeredId = singleHeader(headers, serviceHeaders.requestId) ?? requestId;
		const answeredAttempt = singleHeader(headers, serviceHeaders.attempt) ?? `${attempt}`;
		if (answeredId !== requestId || answeredAttempt !== `${attempt}`) {
			throw new CarobquayError('4003', {
				message: `service "${this.name}" answered attempt ${answeredAttempt} of "${answeredId}" to attempt ${attempt} of "${requestId}"`,
			});
		}
	}

	async #readAll(response: Dispatcher.ResponseData, watch: InactivityTimer): Promise<Uint8Array> {
		const chunks: Uint8Array[] = [];
		const received: AsyncIterable<Uint8Array> = response.body;
		let length = 0;
		for await (const chunk of received) {
			watch.restart();
			length += chunk.byteLength;
			if (length > maximumAnswerBytes) {
				throw new CarobquayError('4003', {message: `service "${this.name}" answered more than ${maximumAnswerBytes} bytes`});
			}

			chunks.push(chunk);
		}

		return Buffer.concat(chunks);
	}
}

function hasBody({method, body}: ServiceRequest): boolean {
	return method !== 'GET' || body.length > 0;
}

function toHeaders({requestId, attempt, timeRemaining: deadline, idempotencyKey, contentType}: ServiceRequest): Record<string, string> {
	return {
		[serviceHeaders.requestId]: requestId,
		[serviceHeaders.attempt]: `${attempt}`,
		[serviceHeaders.deadline]: `${Math.round(deadline)}`,
		...(idempotencyKey !== undefined && {[serviceHeaders.idempotencyKey]: idempotencyKey}),
		...(contentType !== undefined && {'content-type': contentType}),
	};
}

function singleHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}
