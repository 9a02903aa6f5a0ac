/**
 * `carobquay status`: shows the state of an instance.
 *
 * @module
 */
import {z} from 'zod';
import {OperatorClient, type OperatorOptions} from './operator-client.js';
import {print, printJson, printTable} from './output.js';

/** Options of the command. */
export type StatusOptions = OperatorOptions & {json?: boolean};

const statusShape = z.looseObject({
	name: z.string(),
	failureDomain: z.string(),
	region: z.string(),
	version: z.string(),
	ready: z.boolean(),
	generation: z.number(),
	inFlight: z.number(),
	waiting: z.number(),
	members: z.array(z.object({
		name: z.string(), state: z.string(), failureDomain: z.string(), region: z.string(), address: z.string(),
	})).default([]),
	upstreams: z.array(z.object({
		name: z.string(), kind: z.string(), failureDomain: z.string(), state: z.string(), labels: z.record(z.string(), z.string()),
	})),
});

/** Prints the state of one instance. */
export async function status(options: StatusOptions): Promise<void> {
	const answer = await new OperatorClient(options).ask('GET', '/v1/status', statusShape);
	if (options.json) {
		printJson(answer);
		return;
	}

	print(`${answer.name} (${answer.region}/${answer.failureDomain}) version ${answer.version}: ${answer.ready ? 'ready' : 'not ready'}, generation ${answer.generation}`);
	print(`${answer.inFlight} requests in flight, ${answer.waiting} waiting`);
	print('');
	printTable(['UPSTREAM', 'KIND', 'DOMAIN', 'STATE', 'LABELS'], answer.upstreams.map(upstream => [
		upstream.name, upstream.kind, upstream.failureDomain, upstream.state, Object.entries(upstream.labels).map(label => label.join('=')).join(','),
	]));
	if (answer.members.length > 0) {
		print('');
		printTable(['INSTANCE', 'DOMAIN', 'REGION', 'STATE', 'ADDRESS'], answer.members.map(member => [
			member.name, member.failureDomain, member.region, member.state, member.address,
		]));
	}
}
