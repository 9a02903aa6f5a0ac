/**
 * Runs deciders against modelled engines under a virtual clock.
 *
 * @module
 */
import {match} from 'ts-pattern';
import type {Decision, RequestFacts, SendDecision} from '../../src/routing/decision.js';
import {streamUsage} from '../../src/stand-in/engine/model-stream.js';
import {Background, describeEngines} from './background.js';
import {modelName, type Decider} from './decider.js';
import {divide, type DividedRequest} from './divided-request.js';
import {type Job, newJob, streamId} from './job.js';
import {EventQueue} from './event-queue.js';
import {SimulatedEngine} from './simulated-engine.js';
import type {TraceRequest} from './trace.js';
import {engineParameters, type EngineKind, type Workload} from './workload.js';

/** Attempts of one request. */
const maximumAttempts = 3;

/** Lifetime in milliseconds of a reservation. */
const reservationLifetime = 2000;

/** How a request fared. */
export type Outcome = {
	request: TraceRequest;
	/** Time in milliseconds to the first token; undefined where none came. */
	firstToken: number | undefined;
	/** Whether it ended within its deadline. */
	inTime: boolean;
	/** Error number where it was refused or failed. */
	refused: string | undefined;
	/** Time in milliseconds from its arrival to its refusal. */
	refusedAfter: number | undefined;
	/** Whether it was admitted and then ended late, broken or not at all. */
	missed: boolean;
	divided: boolean;
};

/** Makes the decider of each instance. */
export type DeciderFactory = (instance: number, engines: readonly SimulatedEngine[]) => Decider;

/** What one run needs. */
export type SimulationOptions = {
	workload: Workload;
	kind: EngineKind;
	trace: readonly TraceRequest[];
	makeDecider: DeciderFactory;
	seed: number;
	/** Whether engines die, reports lag and cache events are lost as the workload says. */
	degraded: boolean;
};

/** One run. */
export class Simulation {
	readonly #options: SimulationOptions;
	readonly #events = new EventQueue();
	readonly #engines = new Map<string, SimulatedEngine>();
	readonly #deciders: Decider[] = [];
	readonly #jobs = new Map<string, Job>();
	readonly #wakes = new Map<Decider, number>();
	readonly #outcomes: Outcome[] = [];
	#open = 0;

	constructor(options: SimulationOptions) {
		this.#options = options;
	}

	/** Runs all requests to their ends. */
	run(): Outcome[] {
		const {workload, trace, kind, makeDecider} = this.#options;
		const parameters = engineParameters(workload, kind);
		for (let index = 0; index < workload.engines.count; index++) {
			const failureDomain = workload.engines.domains[index % workload.engines.domains.length]!;
			const engine = new SimulatedEngine(this.#events, {name: `engine-${index}`, failureDomain, parameters});
			this.#engines.set(engine.name, engine);
		}

		const engines = [...this.#engines.values()];
		for (let index = 0; index < workload.instances.count; index++) {
			const decider = makeDecider(index, engines);
			decider.setInstances(workload.instances.count);
			decider.setUpstreams(describeEngines(engines, []), 0);
			this.#deciders.push(decider);
		}

		new Background(this.#events, {
			workload, seed: this.#options.seed, degraded: this.#options.degraded, engines, deciders: this.#deciders,
		}).schedule();
		this.#open = trace.length;
		this.#scheduleArrival(0);
		this.#events.run(Number.POSITIVE_INFINITY, () => this.#open === 0);
		return this.#outcomes;
	}

	get #latency(): number {
		return this.#options.workload.instances.latency_ms;
	}

	#scheduleArrival(index: number): void {
		const request = this.#options.trace[index];
		if (!request) {
			return;
		}

		this.#events.at(request.at, () => {
			this.#scheduleArrival(index + 1);
			this.#arrive(request);
		});
	}

	#arrive(request: TraceRequest): void {
		const {workload} = this.#options;
		const outcome: Outcome = {
			request, firstToken: undefined, inTime: false, refused: undefined, refusedAfter: undefined, missed: false, divided: false,
		};
		const deadline = request.at + (workload.class[request.requestClass]!.deadline_s * 1000);
		const decider = this.#deciders[request.instance]!;
		const clientDelay = 2 * workload.instances.client_latency_ms;
		const finish = ({ok, refused}: {ok: boolean; refused?: string}) => {
			outcome.inTime = ok;
			outcome.refused = refused;
			outcome.refusedAfter = refused === undefined ? undefined : this.#events.now - request.at;
			outcome.missed = !ok && refused === undefined;
			this.#outcomes.push(outcome);
			this.#open--;
		};

		const noteFirstToken = () => {
			outcome.firstToken ??= this.#events.now - request.at + clientDelay;
		};

		const job = newJob({
			request, deadline, decider, onFirstToken: noteFirstToken, onEnd: finish,
		});
		job.onDivide = parts => {
			outcome.divided = true;
			this.#runDivided(job, parts, {noteFirstToken, finish});
		};

		this.#start(job);
	}

	/** Runs the parts of a divided prompt, then the request that combines their answers. */
	#runDivided(whole: Job, {parts, combine}: DividedRequest, callbacks: {noteFirstToken: () => void; finish: Job['onEnd']}): void {
		const {deadline, decider} = whole;
		let left = parts.length;
		let failure: {ok: boolean; refused?: string} | undefined;
		const onEnd: Job['onEnd'] = result => {
			left--;
			failure ??= result.ok ? undefined : result;
			if (left > 0) {
				return;
			}

			if (failure) {
				callbacks.finish(failure);
				return;
			}

			this.#start(newJob({
				request: combine, deadline, decider, onFirstToken: callbacks.noteFirstToken, onEnd: callbacks.finish,
			}));
		};

		for (const request of parts) {
			this.#start(newJob({
				request, deadline, decider, onFirstToken: undefined, onEnd,
			}));
		}
	}

	#start(job: Job): void {
		this.#jobs.set(job.request.id, job);
		this.#events.at(job.deadline, () => {
			this.#expire(job);
		});
		this.#decide(job);
	}

	#expire(job: Job): void {
		if (!job.finished) {
			job.engine?.cancel(streamId(job));
			job.decider.observe({
				kind: 'ended', requestId: job.request.id, outcome: 'cancelled', usage: undefined,
			}, this.#events.now);
			this.#end(job, {ok: false});
		}
	}

	#end(job: Job, result: {ok: boolean; refused?: string}): void {
		job.finished = true;
		this.#jobs.delete(job.request.id);
		job.onEnd(result);
	}

	#decide(job: Job): void {
		this.#apply(job, job.decider.decide(this.#facts(job), this.#events.now));
	}

	#facts({request, deadline, excluded}: Job): RequestFacts {
		return {
			requestId: request.id,
			customer: request.customer,
			requestClass: request.requestClass,
			model: modelName,
			service: undefined,
			promptBytes: request.promptBytes,
			messageBytes: request.messageBytes,
			prefixHashes: request.prefixHashes,
			maximumAnswerTokens: this.#options.workload.class[request.requestClass]!.answer_limit,
			deadline,
			excluded: [...excluded],
		};
	}

	#apply(job: Job, decision: Decision): void {
		match(decision)
			.with({kind: 'send'}, send => {
				this.#send(job, send);
			})
			.with({kind: 'wait'}, ({recheckAt: until}) => {
				this.#wakeAt(job.decider, until);
			})
			.with({kind: 'refuse'}, ({code}) => {
				this.#end(job, {ok: false, refused: code});
			})
			.with({kind: 'divide'}, ({plan}) => {
				job.finished = true;
				job.onDivide?.(divide(job.request, plan));
			})
			.exhaustive();
	}

	#send(job: Job, decision: SendDecision): void {
		const engine = this.#engines.get(decision.upstream)!;
		this.#events.after(this.#latency, () => {
			if (decision.isReservationRequired) {
				this.#reserve(job, engine, decision);
			} else {
				this.#submit(job, engine, decision);
			}
		});
	}

	/** Asks an engine for memory; the answer travels back before the prompt is sent. */
	#reserve(job: Job, engine: SimulatedEngine, {promptTokens}: SendDecision): void {
		const {now} = this.#events;
		const reservationId = streamId(job);
		const admission = engine.alive
			? engine.model.reserve({
				reservationId, promptTokens, answerTokens: this.#facts(job).maximumAnswerTokens, expiresAt: now + reservationLifetime,
			})
			: 'no-memory';
		const {expectedWait} = engine;
		this.#events.after(this.#latency, () => {
			if (job.finished) {
				engine.model.release(reservationId);
				return;
			}

			const decision = job.decider.handleReservationOutcome(job.request.id, admission === 'accepted' ? {kind: 'reserved', expectedWait} : {kind: 'refused'}, this.#events.now);
			if (decision?.kind !== 'send' || decision.upstream !== engine.name || decision.reserve) {
				engine.model.release(reservationId);
			}

			if (decision) {
				this.#apply(job, decision);
			}
		});
	}

	#submit(job: Job, engine: SimulatedEngine, {priority}: SendDecision): void {
		if (job.finished) {
			return;
		}

		const {request, decider} = job;
		const accepted = engine.alive && engine.submit({
			streamId: streamId(job),
			requestId: request.id,
			attempt: job.attempt,
			owner: String(request.instance),
			promptTokens: request.promptTokens,
			answerTokens: request.answerTokens,
			priority,
			prefixHashes: request.prefixHashes,
			tokensPerPrefixHash: request.tokensPerHash,
			reservationId: streamId(job),
		}, {
			token: (_stream, isFirst) => {
				this.#noteToken(job, isFirst);
			},
			ended: stream => {
				const usage = streamUsage(stream);
				this.#events.after(this.#latency, () => {
					if (!job.finished) {
						decider.observe({
							kind: 'ended', requestId: request.id, outcome: 'finished', usage,
						}, this.#events.now);
						this.#end(job, {ok: this.#events.now <= job.deadline});
						this.#drain(decider);
					}
				});
			},
			broken: () => {
				this.#events.after(this.#latency, () => {
					this.#fail(job, engine);
				});
			},
		});
		if (accepted) {
			job.engine = engine;
		} else {
			this.#events.after(this.#latency, () => {
				this.#fail(job, engine);
			});
		}
	}

	#noteToken(job: Job, isFirst: boolean): void {
		if (!isFirst) {
			job.decider.observe({kind: 'token', requestId: job.request.id}, this.#events.now + this.#latency);
			return;
		}

		this.#events.after(this.#latency, () => {
			if (!job.finished) {
				job.decider.observe({kind: 'first-token', requestId: job.request.id}, this.#events.now);
				job.onFirstToken?.();
				this.#drain(job.decider);
			}
		});
	}

	#fail(job: Job, engine: SimulatedEngine): void {
		if (job.finished) {
			return;
		}

		job.decider.observe({
			kind: 'ended', requestId: job.request.id, outcome: 'failed', usage: undefined,
		}, this.#events.now);
		job.engine = undefined;
		job.excluded.push(engine.name);
		job.attempt++;
		if (job.attempt >= maximumAttempts) {
			this.#end(job, {ok: false});
		} else {
			this.#decide(job);
		}
	}

	#wakeAt(decider: Decider, until: number): void {
		const known = this.#wakes.get(decider);
		if (known !== undefined && known <= until) {
			return;
		}

		this.#wakes.set(decider, until);
		this.#events.at(until, () => {
			if (this.#wakes.get(decider) === until) {
				this.#wakes.delete(decider);
				this.#drain(decider);
			}
		});
	}

	#drain(decider: Decider): void {
		for (const {requestId, decision} of decider.drain(this.#events.now)) {
			const job = this.#jobs.get(requestId);
			if (job) {
				this.#apply(job, decision);
			}
		}

		const next = decider.nextDrainTime(this.#events.now);
		if (next !== undefined) {
			this.#wakeAt(decider, next);
		}
	}
}
