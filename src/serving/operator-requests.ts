/**
 * What operators read of an instance on the platform, and the quarantines that they lift.
 *
 * - `GET /metrics` (and any path that is not named here): metrics.
 * - `GET /quarantine`: quarantined fingerprints with what tells against them, as JSON.
 * - `DELETE /quarantine/FINGERPRINT`: lifts one at all instances; 404 if it is not quarantined.
 *
 * @module
 */
import type http from 'node:http';
import type {Registry} from 'prom-client';
import type {RequestQuarantine} from '../quarantine/request-quarantine.js';

const quarantinePath = '/quarantine';

/** Answers one request of an operator. */
export async function answerOperator(
	{metrics, quarantine}: {metrics: Registry; quarantine: RequestQuarantine},
	{url = '/', method = 'GET'}: Pick<http.IncomingMessage, 'url' | 'method'>,
	response: http.ServerResponse,
): Promise<void> {
	// A request target need not be a URL: "//" has no host.
	const [pathname = ''] = url.split('?');
	if (pathname === quarantinePath) {
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
