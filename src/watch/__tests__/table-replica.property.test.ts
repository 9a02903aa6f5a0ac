/**
 * Replicas of a store that goes back to older copies: after any history, and any order of reads, polls and exchanges, all
 * end with the store's rows once these are written again. `FUZZ_RUNS` sets the number of runs, `FUZZ_SEED` the seed.
 *
 * @module
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import type {RowChange} from '../row-source.js';
import {TableReplica} from '../table-replica.js';

const parameters = {numRuns: Number(process.env.FUZZ_RUNS ?? 200), seed: Number(process.env.FUZZ_SEED ?? 20_261_204)};

const replicaCount = 3;
const keys = ['a', 'b', 'c'] as const;

type StoredRow = {value: string; version: number; removed: boolean};

/** Store with a history, which can go back to a copy. */
class ModelStore {
	era = 1;
	version = 0;
	#rows = new Map<string, StoredRow>();
	#copy = {version: 0, rows: new Map<string, StoredRow>()};
	#writes = 0;

	write(key: string, removed = false): void {
		this.version += 1;
		this.#writes += 1;
		this.#rows.set(key, {value: `${key}${this.#writes}`, version: this.version, removed});
	}

	takeCopy(): void {
		this.#copy = {version: this.version, rows: new Map(this.#rows)};
	}

	goBack(): void {
		this.era += 1;
		this.version = this.#copy.version;
		this.#rows = new Map(this.#copy.rows);
	}

	changesSince(version: number): RowChange[] {
		return [...this.#rows].filter(([, row]) => row.version > version).map(([key, row]) => ({
			key, value: row.removed ? undefined : row.value, removed: row.removed, version: row.version,
		}));
	}

	get rows(): RowChange[] {
		return this.changesSince(0).filter(({removed}) => !removed);
	}
}

/** Reads all rows of the store, or polls for changes where the position allows it, as a watch does. */
function update(replica: TableReplica, store: ModelStore, isPoll: boolean): void {
	const {era, version} = replica.digest;
	const position = {era: store.era, version: store.version};
	if (isPoll && version > 0 && era === store.era && version <= store.version) {
		replica.onChanges(store.changesSince(version), position);
	} else {
		replica.onSnapshot(store.rows, false, position);
	}
}

const step = fc.oneof(
	{weight: 4, arbitrary: fc.record({kind: fc.constantFrom('write' as const, 'remove' as const), key: fc.constantFrom(...keys)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constantFrom('copy' as const, 'goBack' as const)})},
	{weight: 4, arbitrary: fc.record({kind: fc.constantFrom('read' as const, 'poll' as const), replica: fc.nat({max: replicaCount - 1})})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('exchange' as const), replica: fc.nat({max: replicaCount - 1}), peer: fc.nat({max: replicaCount - 1})})},
);

/** Plays the steps. @returns the store and its replicas. */
function play(steps: ReadonlyArray<(typeof step) extends fc.Arbitrary<infer Step> ? Step : never>): {store: ModelStore; replicas: TableReplica[]} {
	const store = new ModelStore();
	const listener = {onSnapshot: () => undefined, onChanges: () => undefined, onStoreUnavailable: () => undefined};
	const replicas = Array.from({length: replicaCount}, () => new TableReplica({fingerprint: (_key, value) => value, listener, onStoreChange: () => undefined}));
	for (const current of steps) {
		switch (current.kind) {
			case 'write':
			case 'remove': {
				store.write(current.key, current.kind === 'remove');
				break;
			}

			case 'copy': {
				store.takeCopy();
				break;
			}

			case 'goBack': {
				store.goBack();
				break;
			}

			case 'read':
			case 'poll': {
				update(replicas[current.replica]!, store, current.kind === 'poll');
				break;
			}

			case 'exchange': {
				const peer = replicas[current.peer]!;
				replicas[current.replica]!.applySnapshot(peer.rows, peer.digest);
				break;
			}
		}
	}

	return {store, replicas};
}

function contentsOf(rows: readonly RowChange[]): Record<string, string | undefined> {
	return Object.fromEntries(rows.map(({key, value}) => [key, value] as const).toSorted(([one], [other]) => one.localeCompare(other)));
}

// Guards against a replica that keeps a row of another era, or takes an older one, in some order of events.
test('replicas of a store that goes back end with its rows', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
			const {store, replicas} = play(steps);
			for (const {key} of store.rows) {
				store.write(key);
			}

			const [reader, ...followers] = replicas;
			update(reader!, store, true);
			for (const follower of followers) {
				follower.applySnapshot(reader!.rows, reader!.digest);
			}

			assert.deepEqual(replicas.map(replica => contentsOf(replica.rows)), replicas.map(() => contentsOf(store.rows)));
		}), parameters);
	});
});
