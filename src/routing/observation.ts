/**
 * Messages with which the router is told of upstreams, requests and other instances.
 *
 * @module
 */
import type {CacheEventPage, LoadReport, Usage} from '../upstream/engine.js';
import type {Labels} from '../configuration/model.js';
import type {PrefillDemandByTier} from './tiers.js';

/** Whether an upstream may receive new requests. */
export type UpstreamState = 'live' | 'leaving' | 'down';

/** An upstream of the instance list, with its state as this instance sees it. */
export type UpstreamDescription = {
	name: string;
	kind: 'engine' | 'service';
	labels: Labels;
	failureDomain: string;
	state: UpstreamState;
};

/** Demand published by one instance. All rates are in milliseconds of prefill time per second. */
export type PeerDigest = {
	instance: string;
	/** Requested prefill rate by customer. */
	customerDemand: Readonly<Record<string, number>>;
	/** Requested prefill rate by engine pool and tier. */
	poolDemand: Readonly<Record<string, PrefillDemandByTier>>;
	/** Prefill time in milliseconds of the long prompts queued at the instance, by engine pool. */
	queuedLongPrefill: Readonly<Record<string, number>>;
};

/** An event or a report. Observations of unknown requests and upstreams are ignored. */
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
