/**
 * HTTP client of a model engine; answers are streamed as server-sent events.
 *
 * @module
 */
import {createParser} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import type {z} from 'zod';
import {CarobquayError} from '../errors/errors.js';
import type {
	CacheEventPage, CacheExport, EngineClient, EngineMessage, EngineCommand, GenerateRequest, LoadReport, Reservation, StreamSummary,
} from './engine.js';
import {type DroppedMessages, type ExpectedStream, StreamValidator} from './stream-validator.js';
import {
	cacheEventPageShape, cacheSnapshotShape, cacheExportShape, decodeCacheExport, loadReportShape, engineMessageShape,
	errorResponseShape, reservationShape, streamListShape, toGenerateHeaders, encodeCacheExport,
} from './http-engine-protocol.js';
import {
	HttpUpstream, type HttpUpstreamOptions, InactivityTimer, type UpstreamRequest,
} from './http-upstream.js';

/** Maximum length of one server-sent event in characters. */
const maximumEventCharacters = 1_048_576;

/** Path of the streams of an engine. */
const streamsPath = '/v1/streams';

/** Options of an engine's HTTP client. */
export type HttpEngineOptions = HttpUpstreamOptions;

type ControlOptions = {body?: unknown; signal: AbortSignal | undefined};

/** HTTP client of one engine. A call that its caller aborts throws the abort reason if that is a numbered error, otherwise 4009. */
export class HttpEngine implements EngineClient {
	readonly #upstream: HttpUpstream;
	readonly #droppedMessages: DroppedMessages = {misrouted: 0, duplicate: 0, malformed: 0};

	constructor(options: HttpEngineOptions) {
		this.#upstream = new HttpUpstream(options);
	}

	get name(): string {
		return this.#upstream.name;
	}

	/** Counts of messages that were not passed on, over all streams. */
	get droppedMessages(): Readonly<DroppedMessages> {
		return this.#droppedMessages;
	}

	async * generate(request: GenerateRequest, signal: AbortSignal): AsyncGenerator<EngineMessage> {
		const {body, freshConnection = false, ...metadata} = request;
		yield * this.#readStream(
			{
				method: 'POST', path: streamsPath, headers: {'content-type': 'application/json', ...toGenerateHeaders(metadata)}, body, signal,
			},
			{request: {requestId: request.requestId, attempt: request.attempt}, offset: 0},
			freshConnection,
		);
	}

	async * resume(streamId: string, offset: number, signal: AbortSignal): AsyncGenerator<EngineMessage> {
		yield * this.#readStream(
			{method: 'GET', path: `${streamsPath}/${encodeURIComponent(streamId)}?offset=${offset}`, signal},
			{streamId, offset},
			true,
		);
	}

	async cancel(streamId: string, signal?: AbortSignal): Promise<void> {
		await this.#requestWithoutResult('DELETE', `${streamsPath}/${encodeURIComponent(streamId)}`, {signal});
	}

	async cancelRequest(requestId: string, attempt: number, signal?: AbortSignal): Promise<void> {
		await this.#requestWithoutResult('DELETE', `/v1/requests/${encodeURIComponent(requestId)}/attempts/${attempt}`, {signal});
	}

	async listStreams(signal?: AbortSignal): Promise<StreamSummary[]> {
		return this.#requestJson('GET', streamsPath, streamListShape, {signal});
	}

	async fetchLoad(signal?: AbortSignal): Promise<LoadReport> {
		return this.#requestJson('GET', '/v1/load', loadReportShape, {signal});
	}

	async cacheEvents(after: number, signal?: AbortSignal): Promise<CacheEventPage> {
		return this.#requestJson('GET', `/v1/cache-events?after=${after}`, cacheEventPageShape, {signal});
	}

	async cacheSnapshot(signal?: AbortSignal): Promise<{incarnation: string; last: number; hashes: readonly string[]}> {
		return this.#requestJson('GET', '/v1/cache', cacheSnapshotShape, {signal});
	}

	async reserve(request: Parameters<EngineClient['reserve']>[0], signal?: AbortSignal): Promise<Reservation> {
		return this.#requestJson('POST', '/v1/reservations', reservationShape, {body: request, signal});
	}

	async release(reservationId: string, signal?: AbortSignal): Promise<void> {
		await this.#requestWithoutResult('DELETE', `/v1/reservations/${encodeURIComponent(reservationId)}`, {signal});
	}

	async sendCommand(command: EngineCommand, signal?: AbortSignal): Promise<void> {
		await this.#requestWithoutResult('POST', '/v1/orders', {body: command, signal});
	}

	async exportCache(hashes: readonly string[], owner: string, lifetime: number, signal?: AbortSignal): Promise<CacheExport> {
		return decodeCacheExport(await this.#requestJson('POST', '/v1/cache/export', cacheExportShape, {body: {hashes, owner, lifetime}, signal}));
	}

	async importCache(cache: CacheExport, owner: string, lifetime: number, signal?: AbortSignal): Promise<void> {
		await this.#requestWithoutResult('POST', '/v1/cache/import', {body: {cache: encodeCacheExport(cache), owner, lifetime}, signal});
	}

	/** Closes all connections at once; running streams throw 4003. */
	async close(): Promise<void> {
		await this.#upstream.close();
	}

	async * #readStream(request: Omit<UpstreamRequest, 'inactivityTimer'>, expected: ExpectedStream, freshConnection: boolean): AsyncGenerator<EngineMessage> {
		let isComplete = false;
		const inactivityTimer = new InactivityTimer(this.#upstream.inactivityTimeout);
		const validator = new StreamValidator(this.name, expected, this.#droppedMessages);
		let response: Dispatcher.ResponseData | undefined;
		try {
			response = await this.#upstream.sendRequest({...request, inactivityTimer}, freshConnection);
			await this.#checkStatus(response);
			for await (const message of this.#decodeMessages(response, inactivityTimer)) {
				if (validator.accepts(message)) {
					isComplete = message.kind === 'end';
					yield message;
					if (message.kind === 'end') {
						return;
					}
				}
			}

			throw new CarobquayError('4003', {message: `engine "${this.name}" closed the stream before its end message`});
		} catch (error) {
			throw this.#upstream.toError(error, {inactivityTimer, signal: request.signal});
		} finally {
			inactivityTimer.stop();
			releaseResponse(response, isComplete);
		}
	}

	/** Yields messages as they arrive. The inactivity timer is paused while the reader handles a message. */
	async * #decodeMessages(response: Dispatcher.ResponseData, inactivityTimer: InactivityTimer): AsyncGenerator<EngineMessage> {
		const received: EngineMessage[] = [];
		const parser = createParser({
			maxBufferSize: maximumEventCharacters,
			onEvent: event => {
				received.push(...this.#parseMessage(event.data));
			},
			onError: () => {
				this.#droppedMessages.malformed++;
			},
		});
		const decoder = new TextDecoder();
		const chunks: AsyncIterable<Uint8Array> = response.body.iterator({destroyOnReturn: false});
		for await (const chunk of chunks) {
			inactivityTimer.restart();
			parser.feed(decoder.decode(chunk, {stream: true}));
			for (const message of received.splice(0)) {
				inactivityTimer.pause();
				yield message;
				inactivityTimer.restart();
			}
		}
	}

	#parseMessage(data: string): EngineMessage[] {
		const parsed = engineMessageShape.safeParse(parseJson(data));
		if (parsed.success) {
			return [parsed.data];
		}

		this.#droppedMessages.malformed++;
		return [];
	}

	async #requestJson<Shape extends z.ZodType>(method: Dispatcher.HttpMethod, path: string, shape: Shape, {body, signal}: ControlOptions): Promise<z.infer<Shape>> {
		return this.#upstream.sendControlRequest(toControlRequest(method, path, {body, signal}), async response => {
			await this.#checkStatus(response);
			return shape.parse(await response.body.json());
		});
	}

	async #requestWithoutResult(method: Dispatcher.HttpMethod, path: string, {body, signal}: ControlOptions): Promise<void> {
		await this.#upstream.sendControlRequest(toControlRequest(method, path, {body, signal}), async response => {
			await this.#checkStatus(response);
			await response.body.dump();
		});
	}

	async #checkStatus({statusCode, body}: Dispatcher.ResponseData): Promise<void> {
		if (statusCode >= 200 && statusCode < 300) {
			return;
		}

		const errorResponse = errorResponseShape.safeParse(parseJson(await body.text()));
		const reason = errorResponse.success ? `${errorResponse.data.error}: ${errorResponse.data.message ?? ''}` : 'without a reason';
		const message = `engine "${this.name}" answered with status ${statusCode}, ${reason}`;
		if (errorResponse.data?.error === 'stale-fencing-number') {
			throw new CarobquayError('4006', {message});
		}

		// Only an error body of the engine itself proves that nothing ran; a status alone may come from an intermediary such as a proxy.
		const isRefusal = errorResponse.success && (statusCode < 500 || statusCode === 503);
		throw new CarobquayError(isRefusal ? '4005' : '4003', {message});
	}
}

function toControlRequest(method: Dispatcher.HttpMethod, path: string, {body, signal}: ControlOptions): Omit<UpstreamRequest, 'inactivityTimer'> {
	return body === undefined
		? {method, path, signal}
		: {
			method, path, signal, headers: {'content-type': 'application/json'}, body: [new TextEncoder().encode(JSON.stringify(body))],
		};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/** Drains the body of a complete answer, so that its connection can be reused; closes the connection of an incomplete one. */
function releaseResponse(response: Dispatcher.ResponseData | undefined, isComplete: boolean): void {
	if (isComplete) {
		response?.body.resume();
	} else {
		response?.body.destroy();
	}
}
