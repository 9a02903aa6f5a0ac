/**
 * Harness of the engine contract tests: starts the engines under test, and holds helpers that the test cases share.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import type {ExecutionContext, TestFn} from 'ava';
import {CarobquayError} from '../../errors/errors.js';
import type {EngineHostOptions} from '../../stand-in/engine/engine-host.js';
import {startEngineStandIn} from '../../stand-in/engine/engine-stand-in.js';
import {Faults} from '../../stand-in/faults.js';
import type {EngineClient, EngineMessage, GenerateRequest} from '../engine.js';
import {HttpEngine} from '../http-engine.js';
import {MemoryEngine} from '../memory-engine.js';

/** Inactivity timeout of the engines under test in milliseconds. */
export const inactivityTimeout = 600;

/** An engine under test, reached over HTTP or in memory. */
export type EngineUnderTest = {client: EngineClient & Pick<HttpEngine, 'droppedMessages'>; faults: Faults; restart: () => Promise<void>; close: () => Promise<void>};

/** Starts an engine stand-in and its HTTP client. */
async function startHttp(options: EngineHostOptions): Promise<EngineUnderTest> {
	const faults = new Faults();
	let server = await startEngineStandIn({...options, faults});
	const {address} = server;
	const client = new HttpEngine({name: 'engine-1', address, inactivityTimeout});
	return {
		client,
		faults,
		async restart() {
			await server.close();
			server = await startEngineStandIn({...options, faults, port: Number(address.split(':')[1])});
		},
		async close() {
			faults.clear();
			await client.close();
			await server.close();
		},
	};
}

/** Creates an in-memory engine. */
async function startMemory(options: EngineHostOptions): Promise<EngineUnderTest> {
	const client = new MemoryEngine({...options, name: 'engine-1', inactivityTimeout});
	return {
		client,
		faults: client.faults,
		async restart() {
			client.restart();
		},
		async close() {
			await client.close();
		},
	};
}

/** Options of the engines under test. */
const engineOptions: EngineHostOptions = {
	timeScale: 0.2, heartbeatInterval: 50, loadTime: 1, parameters: {blocks: 100},
};

/** Creates a request whose prompt has 750 tokens by default. */
export function generateRequest(overrides: Partial<GenerateRequest> & {text?: string; tokens?: number; model?: string} = {}): GenerateRequest {
	const {text = 'hello '.repeat(500), tokens = 20, model = 'stand-in', ...rest} = overrides;
	return {
		requestId: 'request-1',
		attempt: 1,
		owner: 'entry-1',
		body: [Buffer.from(JSON.stringify({model, max_tokens: tokens, messages: [{role: 'user', content: text}]}))],
		priority: 0,
		timeRemaining: 10_000,
		orphanLifetime: 150,
		...rest,
	};
}

/** Collects all messages of a stream. */
export async function collect(messages: AsyncIterable<EngineMessage>, onMessage?: (message: EngineMessage) => void): Promise<EngineMessage[]> {
	const collected: EngineMessage[] = [];
	for await (const message of messages) {
		collected.push(message);
		onMessage?.(message);
	}

	return collected;
}

/** Joins the answer text of a stream's messages. */
export function textOf(messages: readonly EngineMessage[]): string {
	return messages.map(message => message.kind === 'token' ? message.text : '').join('');
}

/** Creates a signal that never aborts. */
export function neverAborted(): AbortSignal {
	return new AbortController().signal;
}

/** Asserts that a call fails with a numbered error; returns its code and whether the request ran. */
export async function codeAndRan(t: ExecutionContext, call: Promise<unknown>): Promise<{code: string; ran: string}> {
	const error = await t.throwsAsync(call, {instanceOf: CarobquayError});
	return {code: error.code, ran: error.ran};
}

/** Asserts that no stream is running and that all blocks are free. */
export async function assertMemoryFree(t: ExecutionContext, client: EngineClient): Promise<void> {
	t.deepEqual(await client.listStreams(), []);
	t.like(await client.fetchLoad(), {
		running: 0, waiting: 0, freeBlocks: 100, pendingPromptTokens: 0,
	});
}

/** A test case that runs against each kind of engine. */
export type ContractCase = {name: string; options?: EngineHostOptions; run: (t: ExecutionContext, engine: EngineUnderTest) => Promise<void>};

/** Declares each test case twice, over HTTP and in memory. */
export function testContract(test: TestFn, cases: readonly ContractCase[]): void {
	for (const [kind, start] of [['HTTP', startHttp], ['memory', startMemory]] as const) {
		for (const {name, options, run} of cases) {
			test.serial(`${kind}: ${name}`, async t => {
				const engine = await start({...engineOptions, ...options});
				t.teardown(engine.close);
				await run(t, engine);
			});
		}
	}
}
