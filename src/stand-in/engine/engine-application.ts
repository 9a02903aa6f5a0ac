/**
 * HTTP routes of the engine stand-in.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {Context} from 'hono';
import {z} from 'zod';
import {CarobquayError} from '../../errors/errors.js';
import {type PromptSummary, summarizePrompt} from '../../request/prompt.js';
import {
	cacheExportRequestShape, parseGenerateHeaders, decodeCacheExport, cacheImportRequestShape, engineCommandShape, reservationRequestShape, toServerSentEvent, encodeCacheExport,
} from '../../upstream/http-engine-protocol.js';
import type {Faults} from '../faults.js';
import {
	createApplication, type ErrorDescription, readBody, readJson, type StandInApplication,
} from '../server.js';
import {type EngineHost, toStreamRequest} from './engine-host.js';
import {EngineRefusal, type RefusalReason} from './engine-refusal.js';
import {StrayMessageReader} from './stray-messages.js';

/** Reads prompts; an implementation may use worker threads for large ones. */
export interface PromptSummarizer {
	summarize(chunks: readonly Uint8Array[]): Promise<PromptSummary>;
}

/** Reads prompts in the calling thread. */
export class InlinePromptSummarizer implements PromptSummarizer {
	async summarize(chunks: readonly Uint8Array[]): Promise<PromptSummary> {
		return summarizePrompt(Buffer.concat(chunks));
	}
}

const refusalStatus = {
	'never-fits': 413,
	'no-memory': 503,
	'queue-full': 503,
	'unknown-model': 404,
	'unknown-stream': 404,
	'unknown-offset': 404,
	'cancelled-before': 409,
	'stale-fencing-number': 409,
	'damaged-cache': 422,
} as const satisfies Record<RefusalReason, number>;

const leavingShape = z.object({leaving: z.boolean()});

/** Creates the application over a host. */
export function createEngineApplication(host: EngineHost, faults: Faults, summarizer: PromptSummarizer): StandInApplication {
	const application = createApplication(faults, describeEngineError);
	addStreamRoutes(application, host, {faults, summarizer});
	addReportRoutes(application, host);
	addMemoryRoutes(application, host);
	addAdminRoutes(application, host);
	return application;
}

function describeEngineError(error: Error): ReturnType<ErrorDescription> {
	if (error instanceof EngineRefusal) {
		return {status: refusalStatus[error.reason], error: error.reason, message: error.message};
	}

	return error instanceof CarobquayError
		? {status: 400, error: error.entry.name, message: error.message}
		: undefined;
}

function addStreamRoutes(application: StandInApplication, host: EngineHost, {faults, summarizer}: {faults: Faults; summarizer: PromptSummarizer}): void {
	application.post('/v1/streams', async context => {
		const metadata = parseGenerateHeaders(context.req.header());
		const body = await readBody(context.env.incoming);
		const summary = await summarizer.summarize(body);
		return answerStream(context, new StrayMessageReader(host.open(toStreamRequest({...metadata, body}, summary)), faults));
	});
	application.get('/v1/streams', context => context.json(host.streams()));
	application.get('/v1/streams/:id', context => {
		const reader = host.resume(context.req.param('id'), Number(context.req.query('offset') ?? 0));
		return answerStream(context, new StrayMessageReader(reader, faults));
	});
	application.delete('/v1/streams/:id', context => {
		host.cancel(context.req.param('id'));
		return context.body(null, 204);
	});
	application.delete('/v1/requests/:id/attempts/:attempt', context => {
		host.cancelRequest(context.req.param('id'), Number(context.req.param('attempt')));
		return context.body(null, 204);
	});
}

function addReportRoutes(application: StandInApplication, host: EngineHost): void {
	application.get('/v1/load', context => context.json(host.load()));
	application.get('/v1/cache-events', context => context.json(host.reports.cacheEvents(Number(context.req.query('after') ?? 0))));
	application.get('/v1/cache', context => context.json(host.reports.cacheSnapshot()));
}

function addMemoryRoutes(application: StandInApplication, host: EngineHost): void {
	application.post('/v1/reservations', async context => context.json(host.reserve(reservationRequestShape.parse(await readJson(context.env.incoming)))));
	application.delete('/v1/reservations/:id', context => {
		host.release(context.req.param('id'));
		return context.body(null, 204);
	});
	application.post('/v1/cache/export', async context => {
		const {hashes, lifetime} = cacheExportRequestShape.parse(await readJson(context.env.incoming));
		return context.json(encodeCacheExport(host.exportCache(hashes, lifetime)));
	});
	application.post('/v1/cache/import', async context => {
		const {cache, lifetime} = cacheImportRequestShape.parse(await readJson(context.env.incoming));
		host.importCache(decodeCacheExport(cache), lifetime);
		return context.body(null, 204);
	});
	application.post('/v1/orders', async context => {
		await host.orders.take(engineCommandShape.parse(await readJson(context.env.incoming)));
		return context.body(null, 204);
	});
}

function addAdminRoutes(application: StandInApplication, host: EngineHost): void {
	application.post('/admin/leaving', async context => {
		const order = leavingShape.parse(await readJson(context.env.incoming));
		host.leaving = order.leaving;
		return context.json(order);
	});
	application.post('/admin/clear-cache', context => {
		host.clearCache();
		return context.body(null, 204);
	});
	application.get('/admin/state', context => context.json({
		accounts: host.model.accounts(),
		orders: host.orders.taken,
		acceptedWhileLeaving: host.acceptedWhileLeaving,
		streams: host.streams(),
	}));
}

/** Answers with the messages of a reader, which is closed when the connection is. */
function answerStream(context: Context, reader: StrayMessageReader): Response {
	const encoder = new TextEncoder();
	const stream = new ReadableStream<Uint8Array>({
		async pull(controller) {
			const {done, value} = await reader.next();
			if (done) {
				controller.close();
			} else {
				controller.enqueue(encoder.encode(toServerSentEvent(value)));
			}
		},
		cancel() {
			reader.close();
		},
	});
	return context.body(stream, 200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
}
