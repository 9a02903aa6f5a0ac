/**
 * Every key of the settings file with its type, default and meaning.
 *
 * docs/settings.md is generated from this table.
 *
 * @module
 */
import {z} from 'zod';

/** One key of the settings file. */
export type SettingDefinition<Value> = {
	schema: z.ZodType<Value>;
	/** Text used where the key is absent; undefined means the key is required. */
	defaultText: string | undefined;
	description: string;
	example: string;
};

function setting<Value>(schema: z.ZodType<Value>, definition: Omit<SettingDefinition<Value>, 'schema'>): SettingDefinition<Value> {
	return {schema, ...definition};
}

const durationUnits: Readonly<Record<string, number>> = {
	ms: 1, s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000,
};
const sizeUnits: Readonly<Record<string, number>> = {
	B: 1, KiB: 1024, MiB: 1_048_576, GiB: 1_073_741_824,
};

/** A number with a unit as a multiple of the smallest unit. */
function quantity(units: Readonly<Record<string, number>>, meaning: string) {
	const pattern = new RegExp(String.raw`^(\d+(?:\.\d+)?)\s*(${Object.keys(units).join('|')})$`, 'v');
	return z.string()
		.regex(pattern, `expected ${meaning} with a unit of ${Object.keys(units).join(', ')}`)
		.transform(text => {
			const [, amount, unit] = pattern.exec(text)!;
			return Number(amount) * units[unit!]!;
		});
}

/** A time such as "250 ms" or "10 s", in milliseconds. */
export const duration = quantity(durationUnits, 'a time');

/** A size such as "32 MiB", in bytes. */
export const byteSize = quantity(sizeUnits, 'a size');

/** Names separated by commas. */
export const nameList = z.string().transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''));

/** A whole number within bounds. */
export function wholeNumber(minimum: number, maximum: number) {
	return z.string()
		.regex(/^\d+$/v, `expected a whole number from ${minimum} to ${maximum}`)
		.transform(Number)
		.refine(value => value >= minimum && value <= maximum, `expected a whole number from ${minimum} to ${maximum}`);
}

const port = wholeNumber(0, 65_535);
const name = z.string().regex(/^[A-Za-z\d][\w\-]*$/v, 'expected letters, digits, "-" and "_", beginning with a letter or digit');
const address = z.string().regex(/^(?:\[[\da-fA-F:]+\]|[\d.]+):\d+$/v, 'expected an IP number and a port, such as 10.0.0.7:7001');
const optionalAddress = z.union([z.literal(''), address]);
const host = z.union([z.ipv4(), z.ipv6()], 'expected an IP number');
/** "true" or "false". */
export const flag = z.enum(['true', 'false'], 'expected true or false').transform(text => text === 'true');

/* eslint-disable @stylistic/max-len */
/** Every section and key. */
export const settingsSchema = {
	instance: {
		name: setting(name, {defaultText: undefined, example: 'entry-ist-a-1', description: 'Name of this instance, unique in the fleet and the same as in the instance list.'}),
		failure_domain: setting(name, {defaultText: 'local', example: 'ist-a', description: 'Failure domain that this instance runs in.'}),
		region: setting(name, {defaultText: 'local', example: 'tr-marmara', description: 'Region that this instance runs in.'}),
	},
	callers: {
		host: setting(host, {defaultText: '127.0.0.1', example: '10.0.0.5', description: 'IP number on which callers are served.'}),
		port: setting(port, {defaultText: '8080', example: '8080', description: 'Port on which callers are served; 0 takes a free one.'}),
	},
	operators: {
		host: setting(host, {defaultText: '127.0.0.1', example: '10.0.1.5', description: 'IP number of the operators\' port.'}),
		port: setting(port, {defaultText: '9090', example: '9090', description: 'Operators\' port: status, metrics, configuration; 0 takes a free one.'}),
		key_hash: setting(z.union([z.literal(''), z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 in 64 hexadecimal digits')]), {defaultText: '', example: 'SHA-256 of the key', description: 'SHA-256 of the key that operators send; empty lets in anyone who reaches the port.'}),
	},
	peers: {
		host: setting(host, {defaultText: '127.0.0.1', example: '10.0.2.5', description: 'IP number on which other instances connect.'}),
		port: setting(port, {defaultText: '0', example: '7400', description: 'Port on which other instances connect; 0 takes a free one.'}),
		keys: setting(nameList, {defaultText: '', example: 'new-key, old-key', description: 'Shared keys between instances: the first signs, all are accepted, so that keys can be rotated. Empty turns links between instances off.'}),
	},
	platform: {
		adapter: setting(z.enum(['http', 'memory'], 'expected http or memory'), {defaultText: 'http', example: 'http', description: 'How the platform\'s services are reached; memory keeps them inside this process, for trials.'}),
		table: setting(optionalAddress, {defaultText: '', example: '10.0.9.1:7001', description: 'Address of the table service; required with adapter = http.'}),
		objects: setting(optionalAddress, {defaultText: '', example: '10.0.9.1:7002', description: 'Address of the object store; required with adapter = http.'}),
		instances: setting(optionalAddress, {defaultText: '', example: '10.0.9.1:7003', description: 'Address of the instance list; required with adapter = http.'}),
		weights: setting(optionalAddress, {defaultText: '', example: '10.0.9.1:7004', description: 'Address of the weight store; required with adapter = http.'}),
		timeout: setting(duration, {defaultText: '2 s', example: '2 s', description: 'Longest wait for one answer of a platform service.'}),
	},
	upstreams: {
		adapter: setting(z.enum(['http'], 'expected http'), {defaultText: 'http', example: 'http', description: 'Wire form of engines and services.'}),
		silence: setting(duration, {defaultText: '5 s', example: '5 s', description: 'Longest silence of an upstream on an open answer before its connection is left.'}),
		list_interval: setting(duration, {defaultText: '1 s', example: '1 s', description: 'Time between readings of the instance list.'}),
		load_interval: setting(duration, {defaultText: '500 ms', example: '500 ms', description: 'Time between load reports asked of an upstream.'}),
		direct_limit: setting(wholeNumber(0, 100_000), {defaultText: '40', example: '40', description: 'Number of upstreams up to which every instance reads all loads itself; above it, one watcher for each upstream reads and tells the others. Has an effect only with [peers] keys.'}),
		orphan_lifetime: setting(duration, {defaultText: '10 s', example: '10 s', description: 'Time that an engine keeps a stream that nobody reads.'}),
	},
	limits: {
		body: setting(byteSize, {defaultText: '32 MiB', example: '32 MiB', description: 'Largest body of one request.'}),
		bodies_in_memory: setting(byteSize, {defaultText: '512 MiB', example: '512 MiB', description: 'Most memory held by the bodies of all requests at once; more are refused as overloaded.'}),
		caller_silence: setting(duration, {defaultText: '30 s', example: '30 s', description: 'Longest silence of a caller who is sending a body or not reading the answer.'}),
		shutdown: setting(duration, {defaultText: '15 m', example: '15 m', description: 'Longest time that a graceful shutdown waits for requests in flight.'}),
	},
	configuration: {
		poll_interval: setting(duration, {defaultText: '5 s', example: '5 s', description: 'Time between looks at the table service for a newer configuration.'}),
	},
	deferred: {
		lease_time: setting(duration, {defaultText: '10 s', example: '10 s', description: 'Time without a renewal after which another instance takes over the deferred requests of one that died.'}),
		keep_time: setting(duration, {defaultText: '1 d', example: '1 d', description: 'Time for which the answer of a deferred request can be fetched after its end.'}),
	},
	ledger: {
		batch_size: setting(wholeNumber(1, 10_000), {defaultText: '500', example: '500', description: 'Records of promises that make one segment of the ledger full.'}),
		batch_time: setting(duration, {defaultText: '1 s', example: '1 s', description: 'Longest time that a record waits for its segment to fill; also what a dying instance can lose of the ledger.'}),
		buffer: setting(wholeNumber(1, 1_000_000), {defaultText: '50000', example: '50000', description: 'Most records held while the object store takes none; more are counted as lost.'}),
	},
	log: {
		level: setting(z.enum(['debug', 'info', 'warn', 'error'], 'expected debug, info, warn or error'), {defaultText: 'info', example: 'info', description: 'Least level of the log lines written.'}),
		decisions: setting(flag, {defaultText: 'true', example: 'true', description: 'Whether each routing decision is written as a line.'}),
	},
} as const;
/* eslint-enable @stylistic/max-len */

type Camel<Text extends string> = Text extends `${infer Head}_${infer Tail}` ? `${Head}${Capitalize<Camel<Tail>>}` : Text;
type ValueOf<Definition> = Definition extends SettingDefinition<infer Value> ? Value : never;
type ResolvedSection<Section> = {readonly [Key in keyof Section & string as Camel<Key>]: ValueOf<Section[Key]>};

/** All settings with their values: times in milliseconds, sizes in bytes. */
export type ResolvedSettings = {
	readonly [Section in keyof typeof settingsSchema]: ResolvedSection<(typeof settingsSchema)[Section]>
};
