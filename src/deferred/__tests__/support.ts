/**
 * Instances that carry deferred requests on over shared twins, and that die and pause on command.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type CarobquayError} from '../../errors/errors.js';
import {sleep} from '../../platform/backoff.js';
import {GroupCommit} from '../../platform/group-commit.js';
import {MemoryObjects} from '../../platform/memory/memory-objects.js';
import {MemoryTable} from '../../platform/memory/memory-table.js';
import type {ObjectStore} from '../../platform/object-store.js';
import {SettledWriter} from '../../platform/settled-write.js';
import type {TableService} from '../../platform/table.js';
import {EventLog} from '../../telemetry/log.js';
import {DeferredTask} from '../deferred-task.js';
import type {Deferred} from '../item.js';

/** Times in milliseconds. */
export const leaseTime = 10_000;
export const keepTime = 3_600_000;

/** Lets calls of an instance through while it lives, and holds them while it is paused. */
class InstanceGate {
	isDead = false;
	#resumed: Promise<void> | undefined;

	pause(duration: number): void {
		this.#resumed = sleep(duration);
	}

	async pass<Result>(call: () => Promise<Result>): Promise<Result> {
		await this.#wait();
		try {
			return await call();
		} finally {
			await this.#wait();
		}
	}

	async #wait(): Promise<void> {
		await this.#resumed;
		if (this.isDead) {
			await new Promise(() => undefined); // eslint-disable-line no-promise-executor-return
		}
	}
}

/** The answer that a request has, whoever runs it. */
export function answerOf(id: string, body: Uint8Array): string {
	return `answer to ${id}: ${Buffer.from(body).toString('utf8')}`;
}

/** Shared platform and what the engines have seen. */
export class DeferredBench {
	readonly table: MemoryTable;
	readonly objects = new MemoryObjects();
	/** Times that each request was sent to an engine. */
	readonly runs = new Map<string, number>();
	/** Time in milliseconds that an engine takes for a request. */
	duration = 5000;
	/** Thrown by engines at once while set. */
	failure: CarobquayError | undefined;

	constructor(seed = 1) {
		this.table = new MemoryTable({seed});
	}

	instance(name: string): DeferredInstance {
		return new DeferredInstance(this, name);
	}

	/** Deferred requests as they stand. */
	items(): Deferred[] {
		return this.table.inspect('deferred/').map(({value}) => value as Deferred); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	}

	async run({id}: Deferred, loadBody: () => Promise<Uint8Array>, signal: AbortSignal): Promise<Uint8Array> {
		const body = await loadBody();
		this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
		if (this.failure !== undefined) {
			throw this.failure;
		}

		await sleep(this.duration);
		signal.throwIfAborted();
		return Buffer.from(answerOf(id, body));
	}
}

/** One instance. */
export class DeferredInstance {
	readonly task: DeferredTask;
	readonly events: string[] = [];
	readonly #gate = new InstanceGate();

	constructor(bench: DeferredBench, name: string) {
		const table = gatedTable(bench.table, this.#gate);
		const record = (event: string) => ({id, attempt}: Deferred) => {
			this.events.push(`${event} ${id} ${attempt}`);
		};

		this.task = new DeferredTask({
			table,
			objects: gatedObjects(bench.objects, this.#gate),
			writer: new GroupCommit(new SettledWriter(table)),
			runner: {run: async (request, loadBody, signal) => this.#gate.pass(async () => bench.run(request, loadBody, signal))},
			log: new EventLog({write: () => undefined}),
			owner: name,
			leaseTime,
			keepTime,
			listener: {taken: record('taken'), ended: record('ended'), lost: record('lost')},
		});
		this.task.start();
	}

	die(): void {
		this.#gate.isDead = true;
	}

	pause(duration: number): void {
		this.#gate.pause(duration);
	}

	async accept(id: string, options: Partial<Deferred> = {}): Promise<string> {
		return this.task.accept({
			id, customer: 'advokaat', requestClass: 'review', nonIdempotent: false, admittedAt: Date.now(), deadline: Date.now() + 300_000, ...options,
		}, Buffer.from(`bundle of ${id}`));
	}
}

function gatedTable(table: TableService, gate: InstanceGate): TableService {
	return {
		read: async keys => gate.pass(async () => table.read(keys)),
		list: async (prefix, options) => gate.pass(async () => table.list(prefix, options)),
		transact: async transaction => gate.pass(async () => table.transact(transaction)),
	};
}

function gatedObjects(objects: ObjectStore, gate: InstanceGate): ObjectStore {
	return {
		put: async (key, bytes, options) => gate.pass(async () => objects.put(key, bytes, options)),
		get: async key => gate.pass(async () => objects.get(key)),
		list: async (prefix, options) => gate.pass(async () => objects.list(prefix, options)),
		delete: async key => gate.pass(async () => objects.delete(key)),
	};
}
