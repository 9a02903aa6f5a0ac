/**
 * All that one instance knows of the upstreams, as configuration and observations have told it.
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

/** Time in milliseconds for which an upstream at which a request failed is avoided. */
const failureCooldown = 5000;

/** Share of a long prefill after which a stream beside it must have progressed to count as interleaved. */
const interleavingThreshold = 0.3;

/** A request that was given an upstream. */
export type AssignedRequest = {facts: RequestFacts; loadView: LoadView; entry: InFlightRequest};

type EndedObservation = Extract<Observation, {kind: 'ended'}>;

/** Upstreams, pools and what has been learnt of them. */
export class FleetView {
	readonly lengthEstimate = new PromptLengthEstimator();
	readonly answerEstimate = new AnswerEstimator();
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

	/** Counts a request as in flight at an upstream. */
	assign(facts: RequestFacts, view: LoadView, entry: InFlightRequest): void {
		this.unassign(facts.requestId);
		view.recordSent(entry);
		this.#assignedRequests.set(facts.requestId, {facts, loadView: view, entry});
	}

	/** No longer counts a request as in flight. */
	unassign(requestId: string): AssignedRequest | undefined {
		const assignedRequest = this.#assignedRequests.get(requestId);
		this.#assignedRequests.delete(requestId);
		assignedRequest?.loadView.recordEnd(requestId);
		return assignedRequest;
	}

	assignedRequest(requestId: string): AssignedRequest | undefined {
		return this.#assignedRequests.get(requestId);
	}

	/** Takes in an observation of an upstream or a request. */
	observe(observation: Observation, now: number): void {
		// Tokens are by far the most frequent; they skip the pattern matching.
		if (observation.kind === 'token') {
			this.#handleToken(observation.requestId, now);
			return;
		}

		match(observation)
			.with({kind: 'load'}, ({upstream, report}) => {
				this.#handleLoadReport(upstream, report, now);
			})
			.with({kind: 'sent'}, ({requestId}) => {
				const placed = this.#assignedRequests.get(requestId);
				if (placed) {
					placed.entry.sentAt = now;
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

	/** Prompt tokens that one prefix hash covers. */
	tokensPerHash(model: string): number {
		return prefixChunkBytes / this.lengthEstimate.bytesPerToken(model);
	}

	#updatePools(now: number): void {
		for (const pool of this.#configuration.pools.values()) {
			if (pool.kind === 'engine') {
				const known = this.#pools.get(pool.name);
				const current = known?.definition === pool ? known : new EnginePool(pool, known?.rate ?? new PrefillEstimator(), now);
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

		const open = upstreams.filter(upstream => this.isAvailable(upstream));
		this.#selection = new PoolSelection(this.#configuration, open);
		for (const pool of this.#pools.values()) {
			const members = open.filter(upstream => belongsToPool(pool.definition, upstream)).map(({name}) => this.#loadViews.get(name)!);
			for (const view of members) {
				// An upstream may have been known before its pool was.
				view.setPrefillEstimator(pool.rate);
			}

			pool.setMembers(members);
		}
	}

	#handleLoadReport(upstream: string, report: Extract<Observation, {kind: 'load'}>['report'], now: number): void {
		const view = this.#loadViews.get(upstream);
		if (!view) {
			return;
		}

		const wasLeaving = view.leaving;
		view.applyReport(report, now);
		if (view.leaving !== wasLeaving) {
			this.#updatePoolMembers();
		}
	}

	#handleFirstToken(requestId: string, now: number): void {
		const placed = this.#assignedRequests.get(requestId);
		const entry = placed?.loadView.recordFirstToken(requestId, now);
		if (!placed || !entry) {
			return;
		}

		if (entry.hasNoPrefillAhead) {
			placed.loadView.prefillEstimator.observePrefill(entry.promptTokens, entry.cachedTokens, now - entry.sentAt);
		}

		if (entry.isLong) {
			placed.loadView.observeInterleaving(entry, interleavingThreshold, now);
		}

		this.prefixIndex.addHashes(placed.loadView.name, placed.facts.prefixHashes);
	}

	#handleToken(requestId: string, now: number): void {
		const interval = this.#assignedRequests.get(requestId)?.loadView.recordToken(requestId, now) ?? 0;
		if (interval > 0) {
			this.answerEstimate.observeInterTokenLatency(interval);
		}
	}

	#handleEnded({requestId, outcome, usage}: EndedObservation, now: number): void {
		const placed = this.unassign(requestId);
		if (!placed) {
			return;
		}

		const {facts, loadView: view, entry} = placed;
		if (outcome === 'failed') {
			this.#cooldownUntil.set(view.name, now + failureCooldown);
		}

		if (usage && facts.model !== undefined) {
			this.lengthEstimate.observe(facts.model, facts.promptBytes, usage.promptTokens);
			this.answerEstimate.observeAnswer(facts.requestClass, usage.answerTokens, now - (entry.firstTokenAt ?? now));
			this.#requestResyncOnMismatch(placed, usage.cachedTokens, entry.cachedTokens);
		}
	}

	/** Forgets the prefixes that an engine was believed to hold when the request was sent, but did not. */
	#requestResyncOnMismatch({facts, loadView: view}: AssignedRequest, actual: number, believed: number): void {
		const perHash = this.tokensPerHash(facts.model!);
		if (believed - actual > 2 * perHash) {
			// The request itself has filled the cache since, so that only a resync tells what is held now.
			this.prefixIndex.requestResync(view.name);
		}
	}
}
