/**
 * Client of a model engine over HTTP and server-sent events.
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
	cacheEventPageShape, cacheSnapshotShape, cacheExportShape, decodeCacheExport, loadReportShape, engineMessageShape, errorResponseShape, reservationShape, streamListShape, toGenerateHeaders, encodeCacheExport,
} from './http-engine-protocol.js';
import {
	HttpUpstream, type HttpUpstreamOptions, InactivityTimer, type UpstreamRequest,
} from './http-upstream.js';

/** Greatest number of characters of one event. */
const maximumEventCharacters = 1_048_576;

/** Path below which streams live. */
const streamsPath = '/v1/streams';

/** Settings of an engine's client. */
export type HttpEngineOptions = HttpUpstreamOptions;

type ControlOptions = {body?: unknown; signal: AbortSignal | undefined};

/** An engine over HTTP. A call that its caller aborts throws 4009, or the abort's reason where that is numbered. */
export class HttpEngine implements EngineClient {
	readonly #upstream: HttpUpstream;
	readonly #droppedMessages: DroppedMessages = {misrouted: 0, duplicate: 0, malformed: 0};

	constructor(options: HttpEngineOptions) {
		this.#upstream = new HttpUpstream(options);
	}

	get name(): string {
		return this.#upstream.name;
	}

	/** Messages that were not passed on, over all streams. */
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

	async sendCommand(order: EngineCommand, signal?: AbortSignal): Promise<void> {
		await this.#requestWithoutResult('POST', '/v1/orders', {body: order, signal});
	}

	async exportCache(hashes: readonly string[], owner: string, lifetime: number, signal?: AbortSignal): Promise<CacheExport> {
		return decodeCacheExport(await this.#requestJson('POST', '/v1/cache/export', cacheExportShape, {body: {hashes, owner, lifetime}, signal}));
	}

	async importCache(cache: CacheExport, owner: string, lifetime: number, signal?: AbortSignal): Promise<void> {
		await this.#requestWithoutResult('POST', '/v1/cache/import', {body: {cache: encodeCacheExport(cache), owner, lifetime}, signal});
	}

	/** Closes all connections at once; streams under way throw 4003. */
	async close(): Promise<void> {
		await this.#upstream.close();
	}

	async * #readStream(call: Omit<UpstreamRequest, 'watch'>, expected: ExpectedStream, fresh: boolean): AsyncGenerator<EngineMessage> {
		let isWhole = false;
		const watch = new InactivityTimer(this.#upstream.inactivityTimeout);
		const guard = new StreamValidator(this.name, expected, this.#droppedMessages);
		let response: Dispatcher.ResponseData | undefined;
		try {
			response = await this.#upstream.sendRequest({...call, inactivityTimer: watch}, fresh);
			await this.#checkStatus(response);
			for await (const message of this.#decodeMessages(response, watch)) {
				if (guard.accepts(message)) {
					isWhole = message.kind === 'end';
					yield message;
					if (message.kind === 'end') {
						return;
					}
				}
			}

			throw new CarobquayError('4003', {message: `engine "${this.name}" closed a stream before its end`});
		} catch (error) {
			throw this.#upstream.toError(error, {watch, signal: call.signal});
		} finally {
			watch.stop();
			releaseResponse(response, isWhole);
		}
	}

	/** Messages as they come; their reader's time does not count as silence. */
	async * #decodeMessages(response: Dispatcher.ResponseData, watch: InactivityTimer): AsyncGenerator<EngineMessage> {
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
			watch.restart();
			parser.feed(decoder.decode(chunk, {stream: true}));
			for (const message of received.splice(0)) {
				watch.pause();
				yield message;
				watch.restart();
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

		const refusal = errorResponseShape.safeParse(parseJson(await body.text()));
		const reason = refusal.success ? `${refusal.data.error}: ${refusal.data.message ?? ''}` : 'no reason given';
		const message = `engine "${this.name}" answered ${statusCode}, ${reason}`;
		if (refusal.data?.error === 'stale-fencing-number') {
			throw new CarobquayError('4006', {message});
		}

		// Only the engine's own refusal proves that nothing ran; a status alone may come from something in between.
		const refused = refusal.success && (statusCode < 500 || statusCode === 503);
		throw new CarobquayError(refused ? '4005' : '4003', {message});
	}
}

function toControlRequest(method: Dispatcher.HttpMethod, path: string, {body, signal}: ControlOptions): Omit<UpstreamRequest, 'watch'> {
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

/** Reads on to the close of a whole answer, so that its connection can be used again; cuts any other. */
function releaseResponse(response: Dispatcher.ResponseData | undefined, isWhole: boolean): void {
	if (isWhole) {
		response?.body.resume();
	} else {
		response?.body.destroy();
	}
}
