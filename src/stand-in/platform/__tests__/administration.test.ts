import test from 'ava';
import {request} from 'undici';
import {HttpInstanceList} from '../../../platform/http/http-instance-list.js';
import {HttpTable} from '../../../platform/http/http-table.js';
import {HttpWeightStore} from '../../../platform/http/http-weight-store.js';
import {startInstanceListStandIn} from '../instance-list.js';
import {startTableStandIn} from '../table.js';
import {startWeightStoreStandIn} from '../weight-store.js';

/** Time limit in milliseconds of a call in these tests. */
const timeout = 1000;

const write = {conditions: [], writes: [{kind: 'put', key: 'lease/a', value: 1} as const]};

async function send(address: string, method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<{status: number; body: unknown}> {
	const response = await request(`http://${address}${path}`, {method, body: body === undefined ? undefined : JSON.stringify(body)});
	return {status: response.statusCode, body: await response.body.json()};
}

const orders: Array<{order: Record<string, unknown>; status: number; write: string | undefined}> = [
	{order: {availability: 'unavailable'}, status: 200, write: '5001'},
	{order: {availability: 'refusing', duration: 5000}, status: 200, write: '5001'},
	{order: {rateLimited: true}, status: 200, write: '5003'},
	{order: {loseAnswers: 1}, status: 200, write: '5002'},
	{order: {loseAnswerProbability: 1, lateEffect: 20}, status: 200, write: '5002'},
	{order: {loseRequests: 1}, status: 200, write: '5002'},
	{order: {freeze: 5000}, status: 200, write: '5002'},
	{order: {slow: 20}, status: 200, write: undefined},
	{order: {silence: true}, status: 200, write: '5002'},
	{order: {loseAnswerProbability: 2}, status: 400, write: undefined},
	{order: {unheardOf: true}, status: 400, write: undefined},
];

for (const {order, status, write: code} of orders) {
	test(`POST /admin/faults ${JSON.stringify(order)}: status ${status}, a write fails with ${code ?? 'nothing'}`, async t => {
		const standIn = await startTableStandIn();
		const table = new HttpTable({address: standIn.address, timeout});
		t.teardown(async () => {
			await table.close();
			await standIn.close();
		});
		await table.read(['lease/a']);

		const answer = await send(standIn.address, 'POST', '/admin/faults', order);
		t.is(answer.status, status);
		const result = table.transact(write);
		await (code ? t.throwsAsync(result, {code}) : t.notThrowsAsync(result));
	});
}

test('faults end by DELETE, and calls are counted by purpose', async t => {
	const standIn = await startTableStandIn();
	const table = new HttpTable({address: standIn.address, timeout});
	t.teardown(async () => {
		await table.close();
		await standIn.close();
	});
	await send(standIn.address, 'POST', '/admin/faults', {availability: 'unavailable'});
	await t.throwsAsync(table.transact(write));
	await send(standIn.address, 'DELETE', '/admin/faults');
	await table.transact(write);
	await table.read(['lease/a']);
	const {body} = await send(standIn.address, 'GET', '/admin/counts');
	t.deepEqual(body, {
		counts: [
			{kind: 'transact', purpose: 'lease', calls: 2},
			{kind: 'read', purpose: 'lease', calls: 1},
		],
	});
});

test('instances are declared, leave and go', async t => {
	const standIn = await startInstanceListStandIn({lag: 0});
	const list = new HttpInstanceList({address: standIn.address, timeout});
	t.teardown(async () => {
		await list.close();
		await standIn.close();
	});
	const states = async () => {
		const {instances} = await list.read();
		return instances.map(({name, state}) => `${name} ${state}`);
	};

	const path = '/admin/instances/viide-app-1';
	const instance = {
		kind: 'service', address: '127.0.0.1:9000', failureDomain: 'tartu-a', region: 'tartu', state: 'live',
	};
	await send(standIn.address, 'PUT', path, instance);
	t.deepEqual(await states(), ['viide-app-1 live']);
	await send(standIn.address, 'PUT', path, {...instance, state: 'leaving'});
	t.deepEqual(await states(), ['viide-app-1 leaving']);
	await send(standIn.address, 'DELETE', path);
	t.deepEqual(await states(), []);
	const absent = await send(standIn.address, 'DELETE', path);
	t.is(absent.status, 404);
});

test('weights are declared and admitted', async t => {
	const standIn = await startWeightStoreStandIn();
	const weights = new HttpWeightStore({address: standIn.address, timeout});
	t.teardown(async () => {
		await weights.close();
		await standIn.close();
	});
	const entry = {name: 'kohus-70b', version: '3', bytes: 1000};
	await send(standIn.address, 'PUT', '/admin/weights', entry);
	t.deepEqual(await weights.admit('kohus-70b', '3'), entry);
	await t.throwsAsync(weights.admit('kohus-70b', '4'), {code: '1004'});
});
