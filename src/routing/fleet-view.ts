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
import {AnswerEstimate} from './answer-estimate.js';
import type {RequestFacts} from './decision.js';
import {EnginePool} from './engine-pool.js';
import type {Observation, UpstreamDescription} from './observation.js';
import {belongs, Selection} from './selection.js';

/** Time in milliseconds for which an upstream at which a request failed is avoided. */
const suspectDuration = 5000;

/** Share of a long prefill after which a stream beside it must have progressed to count as interleaved. */
const interleavedShare = 0.3;

/** A request that was given an upstream. */
export type Placed = {facts: RequestFacts; view: LoadView; entry: InFlightRequest};

type EndedObservation = Extract<Observation, {kind: 'ended'}>;

/** Upstreams, pools and what has been learnt of them. */
export class FleetView {
	readonly lengths = new PromptLengthEstimator();
	readonly answers = new AnswerEstimate();
	readonly index = new PrefixIndex();
	#configuration: Configuration = {
		generation: 0, pools: new Map(), customers: new Map(), classes: new Map(),
	};

	#upstreams = new Map<string, UpstreamDescription>();
	#selection = new Selection(this.#configuration, []);
	#instances = 1;
	readonly #views = new Map<string, LoadView>();
	readonly #pools = new Map<string, EnginePool>();
	readonly #placed = new Map<string, Placed>();
	readonly #suspectUntil = new Map<string, number>();

	get configuration(): Configuration {
		return this.#configuration;
	}

	get upstreams(): ReadonlyMap<string, UpstreamDescription> {
		return this.#upstreams;
	}

	get selection(): Selection {
		return this.#selection;
	}

	get pools(): ReadonlyMap<string, EnginePool> {
		return this.#pools;
	}

	setConfiguration(configuration: Configuration, now: number): void {
		this.#configuration = configuration;
		this.#refresh(now);
	}

	setUpstreams(upstreams: readonly UpstreamDescription[], now: number): void {
		for (const name of this.#upstreams.keys()) {
			if (!upstreams.some(upstream => upstream.name === name)) {
				this.#views.delete(name);
				this.#suspectUntil.delete(name);
				this.index.removeEngine(name);
			}
		}

		this.#upstreams = new Map(upstreams.map(upstream => [upstream.name, upstream]));
		this.#refresh(now);
	}

	setInstances(count: number): void {
		this.#instances = count;
		for (const pool of this.#pools.values()) {
			pool.setInstances(count);
		}
	}

	view(upstream: string): LoadView | undefined {
		return this.#views.get(upstream);
	}

	/** Whether an upstream may receive new requests. */
	isOpen(upstream: UpstreamDescription): boolean {
		return upstream.state === 'live' && !(this.#views.get(upstream.name)?.leaving ?? false);
	}

	isSuspect(upstream: string, now: number): boolean {
		return (this.#suspectUntil.get(upstream) ?? 0) > now;
	}

	/** Counts a request as in flight at an upstream. */
	place(facts: RequestFacts, view: LoadView, entry: InFlightRequest): void {
		this.displace(facts.requestId);
		view.recordSent(entry);
		this.#placed.set(facts.requestId, {facts, view, entry});
	}

	/** No longer counts a request as in flight. */
	displace(requestId: string): Placed | undefined {
		const placed = this.#placed.get(requestId);
		this.#placed.delete(requestId);
		placed?.view.recordEnd(requestId);
		return placed;
	}

	placed(requestId: string): Placed | undefined {
		return this.#placed.get(requestId);
	}

	/** Takes in an observation of an upstream or a request. */
	observe(observation: Observation, now: number): void {
		// Tokens are by far the most frequent; they skip the pattern matching.
		if (observation.kind === 'token') {
			this.#token(observation.requestId, now);
			return;
		}

		match(observation)
			.with({kind: 'load'}, ({upstream, report}) => {
				this.#reported(upstream, report, now);
			})
			.with({kind: 'sent'}, ({requestId}) => {
				const placed = this.#placed.get(requestId);
				if (placed) {
					placed.entry.sentAt = now;
				}
			})
			.with({kind: 'first-token'}, ({requestId}) => {
				this.#firstToken(requestId, now);
			})
			.with({kind: 'ended'}, ended => {
				this.#ended(ended, now);
			})
			.with({kind: 'service-load'}, ({upstream, running}) => {
				this.#views.get(upstream)?.applyServiceReport(running);
			})
			.with({kind: 'cache-events'}, ({upstream, page}) => {
				if (this.#views.has(upstream)) {
					this.index.applyEvents(upstream, page);
				}
			})
			.with({kind: 'cache-snapshot'}, ({upstream, incarnation, last, hashes}) => {
				if (this.#views.has(upstream)) {
					this.index.applySnapshot(upstream, {incarnation, last, hashes});
				}
			})
			.with({kind: 'peer-digest'}, ({digest}) => {
				for (const pool of this.#pools.values()) {
					pool.observePeer(digest, now);
				}
			})
			.exhaustive();
	}

	/** Prompt tokens that one prefix hash covers. */
	tokensPerHash(model: string): number {
		return prefixChunkBytes / this.lengths.bytesPerToken(model);
	}

	#refresh(now: number): void {
		for (const pool of this.#configuration.pools.values()) {
			if (pool.kind === 'engine') {
				const known = this.#pools.get(pool.name);
				const current = known?.pool === pool ? known : new EnginePool(pool, known?.rate ?? new PrefillEstimator(), now);
				current.setInstances(this.#instances);
				this.#pools.set(pool.name, current);
			}
		}

		for (const name of this.#pools.keys()) {
			if (!this.#configuration.pools.has(name)) {
				this.#pools.delete(name);
			}
		}

		this.#assignMembers();
	}

	#assignMembers(): void {
		const upstreams = [...this.#upstreams.values()];
		for (const upstream of upstreams) {
			if (!this.#views.has(upstream.name)) {
				this.#views.set(upstream.name, new LoadView(upstream.name, new PrefillEstimator()));
			}
		}

		const open = upstreams.filter(upstream => this.isOpen(upstream));
		this.#selection = new Selection(this.#configuration, open);
		for (const pool of this.#pools.values()) {
			const members = open.filter(upstream => belongs(pool.pool, upstream)).map(({name}) => this.#views.get(name)!);
			for (const view of members) {
				// An upstream may have been known before its pool was.
				view.setPrefillEstimator(pool.rate);
			}

			pool.setMembers(members);
		}
	}

	#reported(upstream: string, report: Extract<Observation, {kind: 'load'}>['report'], now: number): void {
		const view = this.#views.get(upstream);
		if (!view) {
			return;
		}

		const wasLeaving = view.leaving;
		view.applyReport(report, now);
		if (view.leaving !== wasLeaving) {
			this.#assignMembers();
		}
	}

	#firstToken(requestId: string, now: number): void {
		const placed = this.#placed.get(requestId);
		const entry = placed?.view.recordFirstToken(requestId, now);
		if (!placed || !entry) {
			return;
		}

		if (entry.hasNoPrefillAhead) {
			placed.view.prefillEstimator.observePrefill(entry.promptTokens, entry.cachedTokens, now - entry.sentAt);
		}

		if (entry.isLong) {
			placed.view.observeInterleaving(entry, interleavedShare, now);
		}

		this.index.addHashes(placed.view.name, placed.facts.prefixHashes);
	}

	#token(requestId: string, now: number): void {
		const interval = this.#placed.get(requestId)?.view.recordToken(requestId, now) ?? 0;
		if (interval > 0) {
			this.answers.observeInterval(interval);
		}
	}

	#ended({requestId, outcome, usage}: EndedObservation, now: number): void {
		const placed = this.displace(requestId);
		if (!placed) {
			return;
		}

		const {facts, view, entry} = placed;
		if (outcome === 'failed') {
			this.#suspectUntil.set(view.name, now + suspectDuration);
		}

		if (usage && facts.model !== undefined) {
			this.lengths.observe(facts.model, facts.promptBytes, usage.promptTokens);
			this.answers.observeAnswer(facts.requestClass, usage.answerTokens, now - (entry.firstTokenAt ?? now));
			this.#correctIndex(placed, usage.cachedTokens, entry.cachedTokens);
		}
	}

	/** Forgets the prefixes that an engine was believed to hold when the request was sent, but did not. */
	#correctIndex({facts, view}: Placed, actual: number, believed: number): void {
		const perHash = this.tokensPerHash(facts.model!);
		if (believed - actual > 2 * perHash) {
			// The request itself has filled the cache since, so that only a resync tells what is held now.
			this.index.requestResync(view.name);
		}
	}
}
