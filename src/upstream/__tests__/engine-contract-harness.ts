/**
 * Engines that the contract cases run against, and what the cases share.
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

/** Time in milliseconds after which a call of these tests counts as silent. */
export const inactivityTimeout = 600;

/** An engine under test, reached in one of two ways. */
export type EngineUnderTest = {client: EngineClient & Pick<HttpEngine, 'dropped'>; faults: Faults; restart: () => Promise<void>; close: () => Promise<void>};

/** An engine stand-in behind the HTTP client. */
async function startHttp(options: EngineHostOptions): Promise<EngineUnderTest> {
	const faults = new Faults();
	let server = await startEngineStandIn({...options, faults});
	const {address} = server;
	const client = new HttpEngine({name: 'engine-1', address, inactivityTimeout: inactivityTimeout});
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

/** An engine in memory. */
async function startMemory(options: EngineHostOptions): Promise<EngineUnderTest> {
	const client = new MemoryEngine({...options, name: 'engine-1', inactivityTimeout: inactivityTimeout});
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

/** Settings of the engines under test. */
const engineOptions: EngineHostOptions = {
	timeScale: 0.2, heartbeatInterval: 50, loadTime: 1, parameters: {blocks: 100},
};

/** A prompt of 750 tokens unless told otherwise. */
export function generateRequest(particulars: Partial<GenerateRequest> & {text?: string; tokens?: number; model?: string} = {}): GenerateRequest {
	const {text = 'hello '.repeat(500), tokens = 20, model = 'stand-in', ...rest} = particulars;
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

/** All messages of a stream. */
export async function collect(messages: AsyncIterable<EngineMessage>, onMessage?: (message: EngineMessage) => void): Promise<EngineMessage[]> {
	const collected: EngineMessage[] = [];
	for await (const message of messages) {
		collected.push(message);
		onMessage?.(message);
	}

	return collected;
}

/** The answer in a stream's messages. */
export function textOf(messages: readonly EngineMessage[]): string {
	return messages.map(message => message.kind === 'token' ? message.text : '').join('');
}

/** A signal that does not abort. */
export function neverAborted(): AbortSignal {
	return new AbortController().signal;
}

/** Number and outcome of the error that a call fails with. */
export async function codeAndRan(t: ExecutionContext, call: Promise<unknown>): Promise<{code: string; ran: string}> {
	const error = await t.throwsAsync(call, {instanceOf: CarobquayError});
	return {code: error.code, ran: error.ran};
}

/** Checks that nothing runs and all blocks can be allocated. */
export async function assertMemoryFree(t: ExecutionContext, client: EngineClient): Promise<void> {
	t.deepEqual(await client.listStreams(), []);
	t.like(await client.fetchLoad(), {
		running: 0, waiting: 0, freeBlocks: 100, pendingPromptTokens: 0,
	});
}

/** One case, run against each kind of engine. */
export type ContractCase = {name: string; options?: EngineHostOptions; run: (t: ExecutionContext, subject: EngineUnderTest) => Promise<void>};

/** Runs each case over HTTP and in memory. */
export function testContract(test: TestFn, cases: readonly ContractCase[]): void {
	for (const [kind, start] of [['HTTP', startHttp], ['memory', startMemory]] as const) {
		for (const {name, options, run} of cases) {
			test.serial(`${kind}: ${name}`, async t => {
				const subject = await start({...engineOptions, ...options});
				t.teardown(subject.close);
				await run(t, subject);
			});
		}
	}
}
