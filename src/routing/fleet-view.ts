/**
 * State of the upstreams as one instance sees it: configuration, load, prefix caches and the requests assigned to them.
 *
 * @module
 */
import {match} from 'ts-pattern';
import type {Configuration} from '../configuration/model.js';
import {prefixChunkBytes} from '../request/prompt.js';
import {PromptLengthEstimator} from '../upstream/prompt-length-estimator.js';
import {type InFlightRequest, LoadView} from '../upstream/load-view.js';
import {PrefixIndex} from '../upstream/prefix-index.js';
import {PrefillEstimator} from '../upstream/prefill-estimator.js';
import {AnswerEstimator} from './answer-estimator.js';
import type {RequestFacts} from './decision.js';
import {EnginePool} from './engine-pool.js';
import type {Observation, UpstreamDescription} from './observation.js';
import {belongsToPool, PoolSelection} from './pool-selection.js';

/** Cooldown in milliseconds of an upstream at which a request failed. */
const failureCooldown = 5000;

/** Fraction of a long prefill after which a concurrent stream must have received a token to count as interleaved. */
const interleavingThreshold = 0.3;

/** A request that is assigned to an upstream and counts as in flight there. */
export type AssignedRequest = {facts: RequestFacts; loadView: LoadView; entry: InFlightRequest};

type EndedObservation = Extract<Observation, {kind: 'ended'}>;

/** Upstreams and pools, with the load, the cached prefixes and the estimates learned from observations. */
export class FleetView {
	readonly promptLengthEstimator = new PromptLengthEstimator();
	readonly answerEstimator = new AnswerEstimator();
	readonly prefixIndex = new PrefixIndex();
	#configuration: Configuration = {
		generation: 0, pools: new Map(), customers: new Map(), classes: new Map(),
	};

	#upstreams = new Map<string, UpstreamDescription>();
	#selection = new PoolSelection(this.#configuration, []);
	#instanceCount = 1;
	readonly #loadViews = new Map<string, LoadView>();
	readonly #pools = new Map<string, EnginePool>();
	readonly #assignedRequests = new Map<string, AssignedRequest>();
	readonly #cooldownUntil = new Map<string, number>();

	get configuration(): Configuration {
		return this.#configuration;
	}

	get upstreams(): ReadonlyMap<string, UpstreamDescription> {
		return this.#upstreams;
	}

	get selection(): PoolSelection {
		return this.#selection;
	}

	get pools(): ReadonlyMap<string, EnginePool> {
		return this.#pools;
	}

	setConfiguration(configuration: Configuration, now: number): void {
		this.#configuration = configuration;
		this.#updatePools(now);
	}

	setUpstreams(upstreams: readonly UpstreamDescription[], now: number): void {
		for (const name of this.#upstreams.keys()) {
			if (!upstreams.some(upstream => upstream.name === name)) {
				this.#loadViews.delete(name);
				this.#cooldownUntil.delete(name);
				this.prefixIndex.removeEngine(name);
			}
		}

		this.#upstreams = new Map(upstreams.map(upstream => [upstream.name, upstream]));
		this.#updatePools(now);
	}

	setInstances(count: number): void {
		this.#instanceCount = count;
		for (const pool of this.#pools.values()) {
			pool.setInstances(count);
		}
	}

	loadView(upstream: string): LoadView | undefined {
		return this.#loadViews.get(upstream);
	}

	/** Whether an upstream may receive new requests. */
	isAvailable(upstream: UpstreamDescription): boolean {
		return upstream.state === 'live' && !(this.#loadViews.get(upstream.name)?.leaving ?? false);
	}

	isCoolingDown(upstream: string, now: number): boolean {
		return (this.#cooldownUntil.get(upstream) ?? 0) > now;
	}

	/** Assigns a request to an upstream, where it counts as in flight from now on; replaces an earlier assignment. */
	assign(facts: RequestFacts, loadView: LoadView, entry: InFlightRequest): void {
		this.unassign(facts.requestId);
		loadView.recordSent(entry);
		this.#assignedRequests.set(facts.requestId, {facts, loadView, entry});
	}

	/** Removes and returns the assignment of a request, which no longer counts as in flight. */
	unassign(requestId: string): AssignedRequest | undefined {
		const assigned = this.#assignedRequests.get(requestId);
		this.#assignedRequests.delete(requestId);
		assigned?.loadView.recordEnd(requestId);
		return assigned;
	}

	assignedRequest(requestId: string): AssignedRequest | undefined {
		return this.#assignedRequests.get(requestId);
	}

	/** Updates the state from an observation of an upstream or a request. */
	observe(observation: Observation, now: number): void {
		// Tokens are by far the most frequent observations and bypass the pattern matching.
		if (observation.kind === 'token') {
			this.#handleToken(observation.requestId, now);
			return;
		}

		match(observation)
			.with({kind: 'load'}, ({upstream, report}) => {
				this.#handleLoadReport(upstream, report, now);
			})
			.with({kind: 'sent'}, ({requestId}) => {
				const assigned = this.#assignedRequests.get(requestId);
				if (assigned) {
					assigned.entry.sentAt = now;
				}
			})
			.with({kind: 'first-token'}, ({requestId}) => {
				this.#handleFirstToken(requestId, now);
			})
			.with({kind: 'ended'}, ended => {
				this.#handleEnded(ended, now);
			})
			.with({kind: 'service-load'}, ({upstream, running}) => {
				this.#loadViews.get(upstream)?.applyServiceReport(running);
			})
			.with({kind: 'cache-events'}, ({upstream, page}) => {
				if (this.#loadViews.has(upstream)) {
					this.prefixIndex.applyEvents(upstream, page);
				}
			})
			.with({kind: 'cache-snapshot'}, ({upstream, incarnation, last, hashes}) => {
				if (this.#loadViews.has(upstream)) {
					this.prefixIndex.applySnapshot(upstream, {incarnation, last, hashes});
				}
			})
			.with({kind: 'peer-digest'}, ({digest}) => {
				for (const pool of this.#pools.values()) {
					pool.setPeerDigest(digest, now);
				}
			})
			.exhaustive();
	}

	/** Number of prompt tokens that one prefix hash covers. */
	tokensPerHash(model: string): number {
		return prefixChunkBytes / this.promptLengthEstimator.bytesPerToken(model);
	}

	#updatePools(now: number): void {
		for (const pool of this.#configuration.pools.values()) {
			if (pool.kind === 'engine') {
				const known = this.#pools.get(pool.name);
				const current = known?.definition === pool ? known : new EnginePool(pool, known?.prefillEstimator ?? new PrefillEstimator(), now);
				current.setInstances(this.#instanceCount);
				this.#pools.set(pool.name, current);
			}
		}

		for (const name of this.#pools.keys()) {
			if (!this.#configuration.pools.has(name)) {
				this.#pools.delete(name);
			}
		}

		this.#updatePoolMembers();
	}

	#updatePoolMembers(): void {
		const upstreams = [...this.#upstreams.values()];
		for (const upstream of upstreams) {
			if (!this.#loadViews.has(upstream.name)) {
				this.#loadViews.set(upstream.name, new LoadView(upstream.name, new PrefillEstimator()));
			}
		}

		const available = upstreams.filter(upstream => this.isAvailable(upstream));
		this.#selection = new PoolSelection(this.#configuration, available);
		for (const pool of this.#pools.values()) {
			const members = available.filter(upstream => belongsToPool(pool.definition, upstream)).map(({name}) => this.#loadViews.get(name)!);
			for (const loadView of members) {
				// An upstream may be listed before its pool is configured.
				loadView.setPrefillEstimator(pool.prefillEstimator);
			}

			pool.setMembers(members);
		}
	}

	#handleLoadReport(upstream: string, report: Extract<Observation, {kind: 'load'}>['report'], now: number): void {
		const loadView = this.#loadViews.get(upstream);
		if (!loadView) {
			return;
		}

		const wasLeaving = loadView.leaving;
		loadView.applyReport(report, now);
		if (loadView.leaving !== wasLeaving) {
			this.#updatePoolMembers();
		}
	}

	#handleFirstToken(requestId: string, now: number): void {
		const assigned = this.#assignedRequests.get(requestId);
		const entry = assigned?.loadView.recordFirstToken(requestId, now);
		if (!assigned || !entry) {
			return;
		}

		if (entry.hasNoPrefillAhead) {
			assigned.loadView.prefillEstimator.observePrefill(entry.promptTokens, entry.cachedTokens, now - entry.sentAt);
		}

		if (entry.isLong) {
			assigned.loadView.observeInterleaving(entry, interleavingThreshold, now);
		}

		this.prefixIndex.addHashes(assigned.loadView.name, assigned.facts.prefixHashes);
	}

	#handleToken(requestId: string, now: number): void {
		const interval = this.#assignedRequests.get(requestId)?.loadView.recordToken(requestId, now) ?? 0;
		if (interval > 0) {
			this.answerEstimator.observeInterTokenLatency(interval);
		}
	}

	#handleEnded({requestId, outcome, usage}: EndedObservation, now: number): void {
		const assigned = this.unassign(requestId);
		if (!assigned) {
			return;
		}

		const {facts, loadView, entry} = assigned;
		if (outcome === 'failed') {
			this.#cooldownUntil.set(loadView.name, now + failureCooldown);
		}

		if (usage && facts.model !== undefined) {
			this.promptLengthEstimator.observe(facts.model, facts.promptBytes, usage.promptTokens);
			this.answerEstimator.observeAnswer(facts.requestClass, usage.answerTokens, now - (entry.firstTokenAt ?? now));
			this.#requestResyncOnMismatch(assigned, usage.cachedTokens, entry.cachedTokens);
		}
	}

	/** Requests a resync of an engine's prefixes if it had cached fewer tokens than expected when the request was sent. */
	#requestResyncOnMismatch({facts, loadView}: AssignedRequest, cachedTokens: number, expectedCachedTokens: number): void {
		const tokensPerHash = this.tokensPerHash(facts.model!);
		if (expectedCachedTokens - cachedTokens > 2 * tokensPerHash) {
			// The request itself has filled the cache since, so only a resync shows which prefixes are cached now.
			this.prefixIndex.requestResync(loadView.name);
		}
	}
}
