/**
 * What operators declare: pools, customers and request classes over labels.
 *
 * @module
 */
import type {Selector} from './selector.js';

/** Labels of a pool, an upstream, a customer or a request. */
export type Labels = Readonly<Record<string, string>>;

/** Upstreams that serve alike. */
export type Pool = {
	name: string;
	kind: 'engine' | 'service';
	labels: Labels;
	/** Chooses the pool's upstreams by their labels. */
	upstreams: Selector;
	/** Models that the pool serves; empty for services. */
	models: readonly string[];
};

/** Limits of one customer, fleet-wide; undefined means none. */
export type Limits = {
	requestsPerSecond: number | undefined;
	promptTokensPerSecond: number | undefined;
	tokensInFlight: number | undefined;
};

/** Who sends requests. */
export type Customer = {
	name: string;
	labels: Labels;
	/** SHA-256 of each valid key, in hexadecimal. */
	keyHashes: readonly string[];
	/** Share under overload, relative to other customers. */
	weight: number;
	limits: Limits;
	/** Classes the customer may use; empty means all. */
	classes: readonly string[];
};

/** How requests of a class are treated. */
export type RequestClass = {
	name: string;
	labels: Labels;
	/** Chooses the pools by their labels. */
	pools: Selector;
	/** Higher runs first. */
	priority: number;
	/** Time in milliseconds within which a request ends, unless its caller asks for less. */
	deadline: number;
	/** Whether requests run at most once even without the caller's mark. */
	nonIdempotent: boolean;
	/** Whether requests are accepted durably and fetched later. */
	deferred: boolean;
	/** Whether a prompt that fits no engine may be divided at message boundaries. */
	divisible: boolean;
};

/** One accepted configuration. */
export type Configuration = {
	/** Rises with each accepted change. */
	generation: number;
	pools: ReadonlyMap<string, Pool>;
	customers: ReadonlyMap<string, Customer>;
	classes: ReadonlyMap<string, RequestClass>;
};
