import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import test, {type ExecutionContext} from 'ava';
import {PlatformProtocol} from '../../../platform/protocol.js';
import {EventLog} from '../../telemetry/log.js';
import {CallerResponse} from '../caller-response.js';
import type {EngineChoiceResult, ChosenEngine, EngineChooser} from '../engine-chooser.js';
import {ForwardedRequest} from '../forwarded-request.js';
import type {ResponseHeaderValues, Route} from '../model.js';
import {RetryBudget} from '../retry-budget.js';
import {ServingMetrics} from '../serving-metrics.js';

const route: Route = {
	name: 'r', host: 'a', prefix: '/', kind: 'stream', isResumable: true, timeout: 20_000, latencyTarget: 100, eventGapTarget: 50, maximumAttempts: 3,
	priority: 1, allowsAnonymous: true, targets: [{service: 's', weight: 1}],
};

/** Time in milliseconds after which the first engine counts as silent. */
const silence = 40;

class TrustingProtocol extends PlatformProtocol {
	override parseResponseHeaders(headers: NodeJS.Dict<string | string[]>): ResponseHeaderValues {
		return {...super.parseResponseHeaders(headers), isSigned: true};
	}
}

/** An engine that is driven by the test. */
class ScriptedEngine {
	readonly server: http.Server;
	failures = 0;
	/** Answer to the latest request. */
	answer: http.ServerResponse | undefined;
	lastEvent: string | undefined;
	isClosed = false;
	closed: Promise<unknown> = Promise.resolve();

	/** @param silence - Time in milliseconds without an event after which it counts as silent. */
	constructor(readonly id: string, readonly silence: number, onRequest: (engine: ScriptedEngine) => void) {
		this.server = http.createServer((request, response) => {
			this.answer = response;
			this.lastEvent = request.headers['last-event-id']?.toString();
			response.on('close', () => {
				this.isClosed = !response.writableFinished;
			});
			this.closed = once(response, 'close');
			onRequest(this);
		});
	}

	emit(...ids: number[]): void {
		if (!this.answer!.headersSent) {
			this.answer!.writeHead(200, {'Content-Type': 'text/event-stream'});
		}

		this.answer!.write(ids.map(id => `id: ${id}\ndata: ${id}\n\n`).join(''));
	}

	end(): void {
		this.answer!.end();
	}

	async chosen(): Promise<ChosenEngine> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		const port = portOf(this.server);
		return {
			record: {
				id: this.id, service: 's', host: '127.0.0.1', port, address: `127.0.0.1:${port}`, failureDomain: 'a', slots: 1, state: 'ready', startedAt: undefined,
			},
			priority: undefined, prefillHelpers: [], firstEventTimeout: Number.POSITIVE_INFINITY, eventGapTimeout: () => this.silence,
			recordEvent: () => undefined, recordRejection: () => undefined, recordMisdirection: () => undefined, release: () => undefined,
			recordFailure: () => {
				this.failures += 1;
			},
		};
	}
}

function portOf(server: http.Server): number {
	const address = server.address();
	return typeof address === 'object' && address ? address.port : 0;
}

const refusal: Extract<EngineChoiceResult, {kind: 'refused'}> = {
	kind: 'refused', code: '3002', reason: 'overloaded', retryAfter: 100, isTransient: true,
};

/** Serves one request; each later choice is made by `chooseNext`. @returns what the caller got. */
async function serve(t: ExecutionContext, first: ScriptedEngine, chooseNext: (attempt: number) => Promise<EngineChoiceResult>) {
	let choices = 0;
	const chosenFirst = await first.chosen();
	const instance = http.createServer((_, response) => {
		void new ForwardedRequest({
			method: 'GET', path: '/', rawHeaders: ['Host', 'a'], body: Buffer.alloc(0), route, service: {name: 's', engineProfile: undefined}, customer: undefined, configurationVersion: 1,
			headerValues: {
				requestId: 'r1', timeout: undefined, apiKey: undefined, promptTokens: undefined, maximumAnswerTokens: 0, answerTokensHint: undefined, lastEventId: undefined,
			},
			arrivedAt: performance.now(),
			callerResponse: new CallerResponse(response, 'r1', () => false),
			protocol: new TrustingProtocol(),
			chooser: { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
				async choose() {
					choices += 1;
					return choices === 1 ? {kind: 'chosen', engine: chosenFirst} : chooseNext(choices);
				},
			} as unknown as EngineChooser,
			retryBudget: new RetryBudget({
				ratio: 1, window: 10_000, allowance: 100, instanceCount: () => 1,
			}),
			metrics: new ServingMetrics(),
			log: new EventLog({write: () => undefined}),
		}).run();
	});
	instance.listen(0, '127.0.0.1');
	await once(instance, 'listening');
	t.teardown(() => {
		for (const server of [instance, first.server]) {
			server.closeAllConnections();
			server.close();
		}
	});
	const request = http.get({host: '127.0.0.1', port: portOf(instance), agent: false});
	const response = await new Promise<http.IncomingMessage>(resolve => {
		request.once('response', resolve);
	});
	const parts: Uint8Array[] = [];
	response.on('data', (part: Uint8Array) => {
		parts.push(part);
	});
	const closed = new Promise(resolve => {
		response.on('close', resolve);
	});
	response.on('error', error => {
		t.is(error.message, 'aborted');
	});
	await closed;
	return {
		isWhole: response.complete,
		ids: [...Buffer.concat(parts).toString().matchAll(/id: (\d+)/gv)].map(([, id]) => Number(id)),
	};
}

const withoutRelief: Array<{name: string; choose: () => EngineChoiceResult}> = [
	{name: 'no other one takes the request', choose: () => refusal},
	{
		name: 'choosing another one fails',
		choose() {
			throw new Error('no choice');
		},
	},
];

for (const {name, choose} of withoutRelief) {
	test(`a silent engine is kept where ${name}`, async t => {
		const engine = new ScriptedEngine('first', silence, ({emit}) => {
			emit.call(engine, 0, 1);
		});

		const got = await serve(t, engine, async choices => {
			if (choices === 3) {
				engine.emit(2);
				engine.end();
			}

			return choose();
		});

		t.deepEqual(got, {isWhole: true, ids: [0, 1, 2]});
		t.is(engine.failures, 0);
	});
}

const endings: Array<{name: string; second: (second: ScriptedEngine, first: ScriptedEngine) => void; firstIsClosed: boolean}> = [
	{
		name: 'a silent engine is let go when the second one goes on',
		second(second) {
			second.emit(2, 3);
			second.end();
		},
		firstIsClosed: true,
	},
	{
		name: 'a silent engine that speaks again goes on, and the second one is let go',
		second(_, first) {
			first.emit(2, 3);
			first.end();
		},
		firstIsClosed: false,
	},
	{
		name: 'a silent engine goes on where the second one breaks off',
		second(second, first) {
			second.answer!.destroy();
			first.emit(2, 3);
			first.end();
		},
		firstIsClosed: false,
	},
	{
		name: 'the second engine goes on where the silent one breaks off',
		second(second, first) {
			first.answer!.destroy();
			first.answer!.once('close', () => {
				second.emit(2, 3);
				second.end();
			});
		},
		firstIsClosed: true,
	},
];

for (const {name, second: script, firstIsClosed} of endings) {
	test(name, async t => {
		const first = new ScriptedEngine('first', silence, engine => {
			engine.emit(0, 1);
		});
		const second = new ScriptedEngine('second', Number.POSITIVE_INFINITY, engine => {
			script(engine, first);
		});
		const chosenSecond = await second.chosen();
		t.teardown(() => {
			second.server.closeAllConnections();
			second.server.close();
		});

		const got = await serve(t, first, async choices => choices === 2 ? {kind: 'chosen', engine: chosenSecond} : refusal);

		t.deepEqual(got, {isWhole: true, ids: [0, 1, 2, 3]});
		t.is(second.lastEvent, '1');
		t.is(first.failures, 1);
		await first.closed;
		t.is(first.isClosed, firstIsClosed);
	});
}

test('an answer that has begun waits until another engine takes it', async t => {
	const first = new ScriptedEngine('first', Number.POSITIVE_INFINITY, engine => {
		engine.emit(0, 1);
		setImmediate(() => {
			engine.answer!.destroy();
		});
	});
	const second = new ScriptedEngine('second', Number.POSITIVE_INFINITY, engine => {
		engine.emit(2);
		engine.end();
	});
	const chosenSecond = await second.chosen();
	t.teardown(() => {
		second.server.closeAllConnections();
		second.server.close();
	});

	const got = await serve(t, first, async choices => choices < 4 ? refusal : {kind: 'chosen', engine: chosenSecond});

	t.deepEqual(got, {isWhole: true, ids: [0, 1, 2]});
});

test('an answer that cannot be gone on with in time ends at once', async t => {
	const first = new ScriptedEngine('first', Number.POSITIVE_INFINITY, engine => {
		engine.emit(0);
		setImmediate(() => {
			engine.answer!.destroy();
		});
	});
	let lastChoice = 0;

	const got = await serve(t, first, async choices => {
		lastChoice = choices;
		return {...refusal, isTransient: false};
	});

	t.deepEqual(got, {isWhole: false, ids: [0]});
	t.is(lastChoice, 2);
});

test('a request ends as failed once the silent engine and the one beside it have broken off', async t => {
	const first = new ScriptedEngine('first', silence, engine => {
		engine.emit(0);
	});

	const got = await serve(t, first, async () => {
		first.answer!.destroy();
		await first.closed;
		return {...refusal, isTransient: false};
	});

	t.deepEqual(got, {isWhole: false, ids: [0]});
});
