/**
 * What operators read of an instance on the platform, and the quarantines that they lift.
 *
 * - `GET /metrics` (and any path that is not named here): metrics.
 * - `GET /explain?host=…&path=…`: where a described request would go now, and why, as JSON.
 * - `GET /quarantine`: quarantined fingerprints with what tells against them, as JSON.
 * - `DELETE /quarantine/FINGERPRINT`: lifts one at all instances; 404 if it is not quarantined.
 *
 * @module
 */
import type http from 'node:http';
import type {Registry} from 'prom-client';
import {errorBody} from '../entry/error-response.js';
import {toCarobquayError} from '../errors/errors.js';
import type {RequestQuarantine} from '../quarantine/request-quarantine.js';
import type {RequestExplainer} from './request-explanation.js';

const quarantinePath = '/quarantine';
const explainPath = '/explain';

/** Answers one request of an operator. */
export async function answerOperator(
	{metrics, quarantine, explainer}: {metrics: Registry; quarantine: RequestQuarantine; explainer: Pick<RequestExplainer, 'explain'>},
	{url = '/', method = 'GET'}: Pick<http.IncomingMessage, 'url' | 'method'>,
	response: http.ServerResponse,
): Promise<void> {
	// A request target need not be a URL: "//" has no host.
	const [pathname = ''] = url.split('?');
	const query = url.slice(pathname.length + 1);
	if (method === 'GET' && pathname === explainPath) {
		answerExplanation(explainer, new URLSearchParams(query), response);
	} else if (pathname === quarantinePath) {
		sendJson(response, 200, quarantine.describe().map(entry => ({...entry, age: Math.round(entry.age), timeUntilProbe: Math.round(entry.timeUntilProbe)})));
	} else if (method === 'DELETE' && pathname.startsWith(`${quarantinePath}/`)) {
		const fingerprint = decodeFingerprint(pathname.slice(quarantinePath.length + 1));
		const isLifted = fingerprint !== undefined && quarantine.lift(fingerprint, 'lifted by an operator');
		sendJson(response, isLifted ? 200 : 404, {fingerprint, lifted: isLifted});
	} else {
		const body = await metrics.metrics();
		response.writeHead(200, ['Content-Type', metrics.contentType]);
		response.end(body);
	}
}

function answerExplanation(explainer: Pick<RequestExplainer, 'explain'>, query: URLSearchParams, response: http.ServerResponse): void {
	try {
		sendJson(response, 200, explainer.explain(query));
	} catch (error) {
		const failure = toCarobquayError(error, 'no');
		response.writeHead(failure.entry.status, ['Content-Type', 'application/json']);
		response.end(`${errorBody(failure, undefined)}\n`);
	}
}

/** Returns undefined if the text is not percent-encoded correctly. */
function decodeFingerprint(text: string): string | undefined {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
}

function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, ['Content-Type', 'application/json']);
	response.end(`${JSON.stringify(body, undefined, 2)}\n`);
}
