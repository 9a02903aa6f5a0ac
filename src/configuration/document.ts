/**
 * Reads configuration documents: INI text that declares pools, customers and request classes.
 *
 * @module
 */
import {parse} from 'ini';
import {match} from 'ts-pattern';
import {z} from 'zod';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import {closestName} from '../settings/closest-name.js';
import {
	duration, flag, nameList, wholeNumber,
} from '../settings/schema.js';
import type {
	Configuration, Customer, Labels, Pool, RequestClass,
} from './model.js';
import {Selector} from './selector.js';

/** Kinds of declaration. */
export type DeclarationKind = 'pool' | 'customer' | 'class';

/** Keys and values of one declared section. */
export type Declaration = {kind: DeclarationKind; name: string; keys: Readonly<Record<string, string>>};

const labelList = z.string().transform((text, context): Labels => {
	const labels: Record<string, string> = {};
	for (const part of text.split(',').map(piece => piece.trim()).filter(piece => piece !== '')) {
		const [label, value, ...rest] = part.split('=').map(piece => piece.trim());
		if (label === undefined || label === '' || value === undefined || rest.length > 0) {
			context.addIssue(`cannot read "${part}"; write labels as name=value, name=value`);
			return z.NEVER;
		}

		labels[label] = value;
	}

	return labels;
});

const selector = z.string().transform((text, context): Selector => {
	try {
		return Selector.parse(text);
	} catch (error) {
		context.addIssue(errorMessage(error));
		return z.NEVER;
	}
});

const maximumCount = 1_000_000_000;
const count = wholeNumber(1, maximumCount);
const weight = wholeNumber(1, 1000);
const priority = wholeNumber(0, 100);
const keyHashes = nameList.refine(
	hashes => hashes.every(hash => /^[\da-f]{64}$/v.test(hash)),
	'expected SHA-256 hashes in 64 hexadecimal digits, separated by commas; "carobquay hash-key" makes one',
);

const poolKeys = z.strictObject({
	kind: z.enum(['engine', 'service'], 'expected engine or service').default('engine'),
	labels: labelList.prefault(''),
	upstreams: selector,
	models: nameList.prefault(''),
});

const customerKeys = z.strictObject({
	labels: labelList.prefault(''),
	key_hashes: keyHashes.prefault(''),
	weight: weight.prefault('1'),
	classes: nameList.prefault(''),
	requests_per_second: count.optional(),
	prompt_tokens_per_second: count.optional(),
	tokens_in_flight: count.optional(),
});

const classKeys = z.strictObject({
	labels: labelList.prefault(''),
	pools: selector,
	priority: priority.prefault('10'),
	deadline: duration,
	non_idempotent: flag.prefault('false'),
	deferred: flag.prefault('false'),
	divisible: flag.prefault('false'),
});

const iniSection = z.record(z.string(), z.union([z.string(), z.number(), z.boolean(), z.null()]).transform(String));
const heading = /^(pool|customer|class) ([A-Za-z\d][\w\-]*)$/v;

/**
 * Splits a document into its declarations without checking their keys.
 *
 * @throws {CarobquayError} 6001 naming the section that cannot be read.
 */
export function readDeclarations(text: string): Declaration[] {
	return Object.entries(parse(text)).map(([section, keys]: [string, unknown]) => {
		const named = heading.exec(section);
		const read = iniSection.safeParse(keys);
		if (!named || !read.success) {
			throw new CarobquayError('6001', {
				message: `section [${section}]: expected [pool NAME], [customer NAME] or [class NAME], with a name of letters, digits, "-" and "_", and plain keys in it`,
			});
		}

		return {kind: z.enum(['pool', 'customer', 'class']).parse(named[1]), name: named[2]!, keys: read.data};
	});
}

/**
 * Builds the configuration that declarations amount to.
 *
 * @throws {CarobquayError} 6001 listing every fault, one a line.
 */
export function buildConfiguration(declarations: readonly Declaration[], generation: number): Configuration {
	const faults: string[] = [];
	const pools = new Map<string, Pool>();
	const customers = new Map<string, Customer>();
	const classes = new Map<string, RequestClass>();
	for (const declaration of declarations) {
		match(declaration.kind)
			.with('pool', () => {
				keep(pools, declaration.name, readPool(declaration, faults));
			})
			.with('customer', () => {
				keep(customers, declaration.name, readCustomer(declaration, faults));
			})
			.with('class', () => {
				keep(classes, declaration.name, readClass(declaration, faults));
			})
			.exhaustive();
	}

	const configuration = {
		generation, pools, customers, classes,
	};
	faults.push(...contradictions(configuration));
	if (faults.length > 0) {
		throw new CarobquayError('6001', {message: faults.join('\n')});
	}

	return configuration;
}

/** Reads and checks a whole document. */
export function parseConfiguration(text: string, generation: number): Configuration {
	return buildConfiguration(readDeclarations(text), generation);
}

function keep<Value>(values: Map<string, Value>, name: string, value: Value | undefined): void {
	if (value !== undefined) {
		values.set(name, value);
	}
}

function checkKeys<Schema extends z.ZodObject>(schema: Schema, {kind, name, keys}: Declaration, faults: string[]): z.infer<Schema> | undefined {
	const known = Object.keys(schema.shape);
	const unknown = Object.keys(keys).filter(key => !known.includes(key));
	faults.push(...unknown.map(key => `[${kind} ${name}] ${key} is not known${closestName(key, known)}`));
	const result = schema.safeParse(keys);
	if (result.success) {
		return result.data;
	}

	for (const issue of result.error.issues.filter(({code}) => code !== 'unrecognized_keys')) {
		const key = String(issue.path[0]);
		const value = keys[key];
		faults.push(value === undefined ? `[${kind} ${name}] ${key} is missing` : `[${kind} ${name}] ${key} = ${value}: ${issue.message}`);
	}

	return undefined;
}

function readPool(declaration: Declaration, faults: string[]): Pool | undefined {
	const keys = checkKeys(poolKeys, declaration, faults);
	return keys && {name: declaration.name, ...keys};
}

function readCustomer(declaration: Declaration, faults: string[]): Customer | undefined {
	const keys = checkKeys(customerKeys, declaration, faults);
	return keys && {
		name: declaration.name,
		labels: keys.labels,
		keyHashes: keys.key_hashes,
		weight: keys.weight,
		classes: keys.classes,
		limits: {
			requestsPerSecond: keys.requests_per_second,
			promptTokensPerSecond: keys.prompt_tokens_per_second,
			tokensInFlight: keys.tokens_in_flight,
		},
	};
}

function readClass(declaration: Declaration, faults: string[]): RequestClass | undefined {
	const keys = checkKeys(classKeys, declaration, faults);
	return keys && {
		name: declaration.name,
		labels: keys.labels,
		pools: keys.pools,
		priority: keys.priority,
		deadline: keys.deadline,
		nonIdempotent: keys.non_idempotent,
		deferred: keys.deferred,
		divisible: keys.divisible,
	};
}

/** Faults between declarations that are each correct in themselves. */
function contradictions({pools, customers, classes}: Configuration): string[] {
	const faults: string[] = [];
	for (const requestClass of classes.values()) {
		if (![...pools.values()].some(pool => requestClass.pools.matches(pool.labels))) {
			faults.push(`[class ${requestClass.name}] pools = ${String(requestClass.pools)}: matches none of the declared pools`);
		}

		if (requestClass.nonIdempotent && requestClass.divisible) {
			faults.push(`[class ${requestClass.name}] divisible and non_idempotent exclude each other: a divided prompt runs in several requests`);
		}
	}

	for (const pool of pools.values()) {
		if (pool.kind === 'engine' && pool.models.length === 0) {
			faults.push(`[pool ${pool.name}] models is missing: an engine pool serves at least one model`);
		}
	}

	for (const customer of customers.values()) {
		for (const name of customer.classes.filter(className => !classes.has(className))) {
			faults.push(`[customer ${customer.name}] classes: "${name}" is not declared${closestName(name, [...classes.keys()])}`);
		}
	}

	return faults;
}
