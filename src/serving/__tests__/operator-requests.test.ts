import http from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {Registry} from 'prom-client';
import {createQuarantine} from '../../quarantine/__tests__/support.js';
import {answerOperator} from '../operator-requests.js';

const fingerprint = 'part:dead beef/1';

const cases: Array<{name: string; method: string; path: string; status: number; body: RegExp; isLifted: boolean}> = [
	{
		name: 'reads the list', method: 'GET', path: '/quarantine', status: 200, body: /"fingerprint": "part:dead beef\/1"/v, isLifted: false,
	},
	{
		name: 'lifts an entry', method: 'DELETE', path: `/quarantine/${encodeURIComponent(fingerprint)}`, status: 200, body: /"lifted": true/v, isLifted: true,
	},
	{
		name: 'lifts an unknown entry', method: 'DELETE', path: '/quarantine/part:other', status: 404, body: /"lifted": false/v, isLifted: false,
	},
	{
		name: 'names an entry that cannot be decoded', method: 'DELETE', path: '/quarantine/%E0%A4', status: 404, body: /"lifted": false/v, isLifted: false,
	},
	// Guards against a target that is no URL, whose rejected promise ended the process.
	{
		name: 'reads the metrics at a path that is no URL', method: 'GET', path: '//', status: 200, body: /^\s*$/v, isLifted: false,
	},
	{
		name: 'reads the list with a query', method: 'GET', path: '/quarantine?x=//', status: 200, body: /"fingerprint": "part:dead beef\/1"/v, isLifted: false,
	},
	{
		name: 'reads the metrics', method: 'GET', path: '/metrics', status: 200, body: /^\s*$/v, isLifted: false,
	},
];

for (const {name, method, path, status, body, isLifted} of cases) {
	test(`an operator ${name}`, async t => {
		const quarantine = createQuarantine();
		quarantine.receiveEntry({fingerprint, revision: 1, probeCount: 0});
		const server = http.createServer((request, response) => {
			void answerOperator({metrics: new Registry(), quarantine}, request, response);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		t.teardown(() => {
			server.close();
		});
		const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

		const response = await fetch(`http://127.0.0.1:${port}${path}`, {method});

		t.is(response.status, status);
		t.regex(await response.text(), body);
		t.is(quarantine.has(fingerprint), !isLifted);
	});
}
