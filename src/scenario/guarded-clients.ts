/**
 * The outside systems as one simulated process reaches them: through its boundary, with each store call reported.
 *
 * @module
 */
import {parseClaim} from '../claim/claim.js';
import type {InstanceList} from '../platform/instance-list.js';
import type {ObjectStore} from '../platform/object-store.js';
import type {TableService, Transaction} from '../platform/table.js';
import type {EngineClient} from '../upstream/engine.js';
import type {ServiceClient} from '../upstream/service.js';
import type {ProcessBoundary} from './process-boundary.js';

/** Calls of the store, by what they are for. */
export type StoreCall
	= 'write-claim' | 'write-sent' | 'write-ending' | 'settle-write' | 'settle-read' | 'read-claim'
		| 'put-answer' | 'get-answer' | 'read-list' | 'other-call';

/** Told before a call leaves and after its answer arrived. */
export type StoreListener = (call: StoreCall, moment: 'before' | 'after') => void;

type Guard = {boundary: ProcessBoundary; listener: StoreListener};

/** The table through a process's boundary. */
export function guardTable(table: TableService, guard: Guard): TableService {
	return {
		read: async (keys, signal) => observed(guard, keys[0]?.startsWith('claim/') ? 'read-claim' : 'settle-read', async () => table.read(keys, signal)),
		list: async (prefix, options, signal) => observed(guard, 'other-call', async () => table.list(prefix, options, signal)),
		transact: async (transaction, signal) => observed(guard, purposeOf(transaction), async () => table.transact(transaction, signal)),
	};
}

/** The object store through a process's boundary. */
export function guardObjects(objects: ObjectStore, guard: Guard): ObjectStore {
	return {
		put: async (key, bytes, options, signal) => observed(guard, 'put-answer', async () => objects.put(key, bytes, options, signal)),
		get: async (key, signal) => observed(guard, 'get-answer', async () => objects.get(key, signal)),
		list: async (prefix, options, signal) => observed(guard, 'other-call', async () => objects.list(prefix, options, signal)),
		delete: async (key, signal) => observed(guard, 'other-call', async () => objects.delete(key, signal)),
	};
}

/** The instance list through a process's boundary. */
export function guardList(instances: InstanceList, guard: Guard): InstanceList {
	return {read: async signal => observed(guard, 'read-list', async () => instances.read(signal))};
}

/** An engine through a process's boundary; connections break when the process dies. */
export function guardEngine(engine: EngineClient, boundary: ProcessBoundary): EngineClient & {close: () => Promise<void>} {
	const until = (signal?: AbortSignal) => signal ? AbortSignal.any([signal, boundary.death]) : boundary.death;
	return {
		name: engine.name,
		generate: (request, signal) => boundary.stream(() => engine.generate(request, until(signal))),
		resume: (streamId, offset, signal) => boundary.stream(() => engine.resume(streamId, offset, until(signal))),
		cancel: async (streamId, signal) => boundary.call(async () => engine.cancel(streamId, until(signal))),
		cancelRequest: async (requestId, attempt, signal) => boundary.call(async () => engine.cancelRequest(requestId, attempt, until(signal))),
		listStreams: async signal => boundary.call(async () => engine.listStreams(until(signal))),
		fetchLoad: async signal => boundary.call(async () => engine.fetchLoad(until(signal))),
		cacheEvents: async (after, signal) => boundary.call(async () => engine.cacheEvents(after, until(signal))),
		cacheSnapshot: async signal => boundary.call(async () => engine.cacheSnapshot(until(signal))),
		reserve: async (request, signal) => boundary.call(async () => engine.reserve(request, until(signal))),
		release: async (reservationId, signal) => boundary.call(async () => engine.release(reservationId, until(signal))),
		sendCommand: async (order, signal) => boundary.call(async () => engine.sendCommand(order, until(signal))),
		exportCache: async (hashes, owner, lifetime, signal) => boundary.call(async () => engine.exportCache(hashes, owner, lifetime, until(signal))),
		importCache: async (cache, owner, lifetime, signal) => boundary.call(async () => engine.importCache(cache, owner, lifetime, until(signal))),
		close: async () => undefined,
	};
}

/** A service through a process's boundary. */
export function guardService(service: ServiceClient, boundary: ProcessBoundary): ServiceClient & {close: () => Promise<void>} {
	return {
		name: service.name,
		call: async (request, signal) => boundary.call(async () => service.call(request, AbortSignal.any([signal, boundary.death]))),
		fetchLoad: async signal => boundary.call(async () => service.fetchLoad(signal)),
		close: async () => undefined,
	};
}

async function observed<Result>({boundary, listener}: Guard, call: StoreCall, work: () => Promise<Result>): Promise<Result> {
	return boundary.call(async () => {
		listener(call, 'before');
		await boundary.running();
		try {
			return await work();
		} finally {
			listener(call, 'after');
		}
	});
}

function purposeOf({writes}: Transaction): StoreCall {
	const [write] = writes;
	if (!write?.key.startsWith('claim/')) {
		return write?.key.startsWith('change/') ? 'settle-write' : 'other-call';
	}

	const state = write.kind === 'put' ? parseClaim(write.value).state : undefined;
	const calls: Readonly<Record<string, StoreCall>> = {claimed: 'write-claim', sent: 'write-sent', ended: 'write-ending'};
	return calls[state ?? ''] ?? 'other-call';
}
