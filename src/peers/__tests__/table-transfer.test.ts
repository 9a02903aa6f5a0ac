import {once} from 'node:events';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {MemoryBudget} from '../../memory/memory-budget.js';
import {EventLog} from '../../telemetry/log.js';
import {fetchTableSnapshot, type TableSnapshot, TableServer} from '../table-transfer.js';

const port = 19_400 + (process.pid % 1000);
const log = new EventLog({write: () => undefined});
const rows = Array.from({length: 2000}, (_, index) => ({key: `route-${index}`, value: String(Math.sin(index)), removed: false}));

// Guards against a process that encodes a table, or keeps a copy of it, for each of the peers that fetch it together.
test('peers that fetch a table together share one copy, which is counted until the last one has it', async t => {
	const memory = new MemoryBudget({ceiling: 1_000_000});
	let snapshot: TableSnapshot = {digest: {era: 0, version: 1, checksum: 1}, rows};
	const server = new TableServer(() => snapshot, memory);
	await server.listen('127.0.0.1', port, log);
	t.teardown(() => {
		server.close();
	});
	const fetching = new MemoryBudget({ceiling: 1_000_000});
	t.deepEqual(await fetchTableSnapshot('127.0.0.1', port, 0, fetching), snapshot);
	const size = memory.usedBy('tables');
	const unread = net.connect({host: '127.0.0.1', port}).pause();
	await once(unread, 'connect');
	unread.write(Uint8Array.of(0));
	t.deepEqual(await fetchTableSnapshot('127.0.0.1', port, 0, fetching), snapshot);
	t.true(size > 0);
	t.is(memory.usedBy('tables'), size);
	t.is(fetching.total, 0);

	snapshot = {digest: {era: 0, version: 2, checksum: 2}, rows: rows.slice(1)};
	t.deepEqual(await fetchTableSnapshot('127.0.0.1', port, 0, fetching), snapshot);
	t.true(memory.usedBy('tables') > size);
	unread.destroy();
	const closed = performance.now() + 5000;
	while (memory.usedBy('tables') > size && performance.now() < closed) {
		await sleep(10); // eslint-disable-line no-await-in-loop
	}

	t.true(memory.usedBy('tables') <= size);
});

test('a table for which there is no memory is neither sent nor received', async t => {
	const small = new MemoryBudget({ceiling: 100});
	const large = new MemoryBudget({ceiling: 1_000_000});
	for (const [index, [sending, receiving]] of [[small, large], [large, small]].entries()) {
		const server = new TableServer(() => ({digest: {era: 0, version: 1, checksum: 1}, rows}), sending!);
		await server.listen('127.0.0.2', port + index, log); // eslint-disable-line no-await-in-loop
		t.teardown(() => {
			server.close();
		});
		// eslint-disable-next-line no-await-in-loop
		await t.throwsAsync(fetchTableSnapshot('127.0.0.2', port + index, 0, receiving!), {name: 'TableTransferError'});
		t.is(receiving!.total, 0);
	}

	t.is(small.total, 0);
});
