import http from 'node:http';
import type {AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {MemoryBudget} from '../../memory/memory-budget.js';
import {EventLog} from '../../telemetry/log.js';
import {Admission, type AdmissionOptions} from '../admission.js';
import type {RequestHeaderValues, Route, ServingConfiguration} from '../model.js';
import {RouteTable} from '../route-table.js';

const route: Route = {
	name: 'r', host: '127.0.0.1', prefix: '/', kind: 'idempotent', isResumable: false, timeout: 5000, latencyTarget: 300, eventGapTarget: undefined,
	maximumAttempts: 1, allowsAnonymous: true, targets: [{service: 's', weight: 1}],
};
const configuration: ServingConfiguration = {
	version: 1, routes: [route], services: new Map([['s', {name: 's', engineProfile: undefined}]]),
	limits: {maximumBodyBytes: 1000, headerTimeout: 1000, idleTimeout: 1000}, customers: undefined,
};

async function startAdmission(t: ExecutionContext, parseRequestHeaders: () => RequestHeaderValues) {
	const events: string[] = [];
	// Only what the admission itself uses; no request is forwarded.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const options = {
		routes: () => new RouteTable(configuration), state: () => 'serving', protocol: {parseRequestHeaders}, metrics: {recordRejection: () => undefined},
		memory: new MemoryBudget({ceiling: 1_000_000}),
		log: new EventLog({
			write(line) {
				events.push(line);
			},
		}),
	} as unknown as AdmissionOptions;
	const admission = new Admission(options);
	const requests: http.IncomingMessage[] = [];
	const server = http.createServer((request, response) => {
		requests.push(request);
		void admission.handle(request, response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return {port: (server.address() as AddressInfo).port, requests, events}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

const headerValues: RequestHeaderValues = {
	requestId: 'r1', apiKey: undefined, timeout: undefined, sharedPromptParts: [], promptTokens: undefined, maximumAnswerTokens: 0, answerTokensHint: undefined, lastEventId: undefined,
};

test('the rest of a body that is refused as too large is discarded', async t => {
	const {port, requests} = await startAdmission(t, () => headerValues);
	const request = http.request({
		host: '127.0.0.1', port, method: 'POST', path: '/x',
	});
	const status = new Promise<number | undefined>(resolve => {
		request.on('response', response => {
			resolve(response.resume().statusCode);
		});
	});
	request.write('x'.repeat(2000));

	t.is(await status, 413);
	t.is(requests[0]!.listenerCount('data'), 0);
	request.destroy();
});

test('a request whose headers cannot be parsed ends its connection and is logged', async t => {
	const {port, events} = await startAdmission(t, () => {
		throw new Error('no such header');
	});
	await t.throwsAsync(new Promise((resolve, reject) => {
		http.get({host: '127.0.0.1', port, path: '/x'}, resolve).on('error', reject);
	}));
	t.true(events.some(line => line.includes('event=request.unexpected') && line.includes('no such header')));
});
