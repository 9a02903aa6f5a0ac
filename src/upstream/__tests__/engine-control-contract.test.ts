import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {
	assertMemoryFree, collect, type ContractCase, codeAndRan, neverAborted, generateRequest, testContract,
} from './engine-contract-harness.js';

const controlCases: ContractCase[] = [
	{
		name: 'a freeze shorter than the silence limit only delays',
		async run(t, {client, faults}) {
			faults.apply({freeze: 150});
			const messages = await collect(client.generate(generateRequest(), neverAborted()));
			t.is(messages.filter(message => message.kind !== 'heartbeat').length, 22);
		},
	},
	{
		name: 'a reservation is refused without memory, used by its prompt, and expires',
		async run(t, {client}) {
			const request = {
				requestId: 'request-1', owner: 'entry-1', promptTokens: 3000, answerTokens: 200, lifetime: 400,
			};
			const {reservationId} = await client.reserve(request);
			t.like(await client.fetchLoad(), {freeBlocks: 50});
			t.deepEqual(await codeAndRan(t, client.reserve({...request, promptTokens: 6000})), {code: '4005', ran: 'no'});
			await collect(client.generate(generateRequest({reservationId}), neverAborted()));
			const unused = await client.reserve(request);
			await client.release(unused.reservationId);
			await client.reserve(request);
			await delay(500);
			await assertMemoryFree(t, client);
		},
	},
	{
		name: 'orders are carried out, and refused with an old fencing number',
		async run(t, {client}) {
			await client.sendCommand({
				kind: 'load', name: 'kohus-70b', version: 'v2', fencingNumber: 5,
			});
			await client.sendCommand({kind: 'role', role: 'prefill', fencingNumber: 5});
			t.deepEqual(await codeAndRan(t, client.sendCommand({
				kind: 'unload', name: 'kohus-70b', version: 'v2', fencingNumber: 4,
			})), {code: '4006', ran: 'no'});
			t.like(await client.fetchLoad(), {models: ['stand-in', 'kohus-70b', 'kohus-70b@v2'], role: 'prefill'});
		},
	},
	{
		name: 'an engine that ignores fencing numbers obeys an old one',
		options: {fencing: 'ignored'},
		async run(t, {client}) {
			await client.sendCommand({kind: 'role', role: 'prefill', fencingNumber: 5});
			await client.sendCommand({kind: 'role', role: 'decode', fencingNumber: 4});
			t.like(await client.fetchLoad(), {role: 'decode'});
		},
	},
	{
		name: 'cached prefixes are exported, imported, and refused when damaged',
		async run(t, {client}) {
			await collect(client.generate(generateRequest({text: 'a'.repeat(6000)}), neverAborted()));
			const {hashes} = await client.cacheSnapshot();
			t.is(hashes.length, 2);
			const exported = await client.exportCache([...hashes, 'unknown'], 'entry-1', 100);
			t.deepEqual(exported.hashes, hashes);
			const moved = {...exported, hashes: exported.hashes.map(hash => hash.replaceAll(/./gv, 'f'))};
			t.deepEqual(await codeAndRan(t, client.importCache(moved, 'entry-1', 100)), {code: '4005', ran: 'no'});
			await client.importCache(exported, 'entry-1', 100);
			await delay(150);
			await assertMemoryFree(t, client);
		},
	},
	{
		name: 'an imported prefix spares its prefill',
		async run(t, {client}) {
			const text = 'a'.repeat(6000);
			await collect(client.generate(generateRequest({text}), neverAborted()));
			const {hashes} = await client.cacheSnapshot();
			const exported = await client.exportCache(hashes, 'entry-1', 50);
			await delay(100);
			await collect(client.generate(generateRequest({text: 'b'.repeat(25_000), tokens: 100}), neverAborted()));
			const evicted = await client.cacheSnapshot();
			t.deepEqual(evicted.hashes.filter(hash => hashes.includes(hash)), []);
			await client.importCache(exported, 'entry-1', 50);
			const messages = await collect(client.generate(generateRequest({text}), neverAborted()));
			t.like(messages.at(-1), {usage: {promptTokens: 1500, cachedTokens: 1024, answerTokens: 20}});
		},
	},
	{
		name: 'load and cache events come late, and some events are lost',
		options: {loadLag: 600, cacheEventLag: 600, lostCacheEventInterval: 2},
		async run(t, {client}) {
			await collect(client.generate(generateRequest({text: 'a'.repeat(20_000), tokens: 1}), neverAborted()));
			t.like(await client.cacheEvents(0), {last: 0});
			t.like(await client.cacheSnapshot(), {last: 3});
			t.like(await client.fetchLoad(), {age: 600, freeBlocks: 100, running: 0});
			await delay(700);
			const {events, last} = await client.cacheEvents(0);
			t.is(last, 3);
			t.deepEqual(events.map(event => event.sequence), [1, 3]);
		},
	},
	{
		name: 'control calls go on after all of their connections went silent',
		async run(t, {client, faults}) {
			const loadThrice = async (): Promise<unknown> => Promise.all([client.fetchLoad(), client.fetchLoad(), client.fetchLoad()]);
			await loadThrice();
			faults.apply({silence: true});
			// Over HTTP the first call finds out; in memory a call has no connection from before.
			await Promise.allSettled([client.fetchLoad()]);
			await t.notThrowsAsync(loadThrice());
		},
	},
];

testContract(test, controlCases);
