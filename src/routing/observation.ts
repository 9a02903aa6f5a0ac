/**
 * What the router is told, as typed messages.
 *
 * @module
 */
import type {CacheEventPage, LoadReport, Usage} from '../upstream/engine.js';
import type {Labels} from '../configuration/model.js';
import type {PrefillDemandByTier} from './tiers.js';

/** Whether an upstream may receive new requests. */
export type UpstreamState = 'live' | 'leaving' | 'down';

/** An upstream of the instance list, with the state that this instance believes. */
export type UpstreamDescription = {
	name: string;
	kind: 'engine' | 'service';
	labels: Labels;
	failureDomain: string;
	state: UpstreamState;
};

/** Demand that another instance has published. */
export type PeerDigest = {
	instance: string;
	/** Milliseconds of prefill asked for in each second, by customer. */
	customerDemand: Readonly<Record<string, number>>;
	/** Milliseconds of prefill asked for in each second, by engine pool and tier. */
	poolDemand: Readonly<Record<string, PrefillDemandByTier>>;
	/** Milliseconds of long prefill that waits at the instance, by engine pool. */
	queuedLongPrefill: Readonly<Record<string, number>>;
};

/** Something that happened. Observations of unknown requests and upstreams are ignored. */
export type Observation
	= | {kind: 'sent'; requestId: string; upstream: string}
		| {kind: 'first-token'; requestId: string}
		| {kind: 'token'; requestId: string}
		| {kind: 'ended'; requestId: string; outcome: 'finished' | 'failed' | 'cancelled'; usage: Usage | undefined}
		| {kind: 'load'; upstream: string; report: LoadReport}
		| {kind: 'service-load'; upstream: string; running: number; leaving: boolean}
		| {kind: 'cache-events'; upstream: string; page: CacheEventPage}
		| {kind: 'cache-snapshot'; upstream: string; incarnation: string; last: number; hashes: readonly string[]}
		| {kind: 'peer-digest'; digest: PeerDigest};
