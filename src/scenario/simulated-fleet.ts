/**
 * Two entry instances, their upstreams and the platform in one process under a paused clock.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {Configuration} from '../configuration/model.js';
import {Selector} from '../configuration/selector.js';
import type {RequestState} from '../request/request-lifecycle.js';
import {EventLog} from '../telemetry/log.js';
import {Asked, type Question} from './caller.js';
import {EntryProcess} from './entry-process.js';
import type {StoreCall} from './guarded-clients.js';
import {OutsideSystems} from './outside-systems.js';
import {PausedClock} from './paused-clock.js';

/** Deadline of each class in milliseconds; callers ask for less. */
const classDeadline = 600_000;

/** Time in milliseconds until the instances know their upstreams. */
const startTime = 2000;

const noLimits = {requestsPerSecond: undefined, promptTokensPerSecond: undefined, tokensInFlight: undefined};
const classRules = {
	labels: {}, pools: Selector.parse('tier=standard'), priority: 1, deadline: classDeadline, nonIdempotent: false, deferred: false, divisible: false,
};

const configuration: Configuration = {
	generation: 1,
	pools: new Map([
		['kohus-llm', {
			name: 'kohus-llm', kind: 'engine', labels: {tier: 'standard'}, upstreams: Selector.parse('role=engine'), models: ['kohus-70b'],
		}],
		['viide-app', {
			name: 'viide-app', kind: 'service', labels: {tier: 'standard'}, upstreams: Selector.parse('role=service'), models: [],
		}],
	]),
	customers: new Map([['advokaat', {
		name: 'advokaat', labels: {}, keyHashes: [], weight: 1, classes: [], limits: noLimits,
	}]]),
	classes: new Map([['bundle', {name: 'bundle', ...classRules}], ['citation', {name: 'citation', ...classRules}]]),
};

/** A moment in the course of a fleet that a fault can be tied to. */
export type Moment
	= | {kind: 'state'; requestId: string; state: RequestState}
		| {kind: 'store'; entry: string; call: StoreCall; moment: 'before' | 'after'};

/** A simulated fleet. Only one may exist at a time, for it replaces the runtime's clock. */
export class SimulatedFleet {
	/** Starts a fleet on a clock of its own. */
	static async start(seed: number): Promise<SimulatedFleet> {
		const fleet = new SimulatedFleet(new PausedClock(seed));
		for (const entry of fleet.entries) {
			void entry.start();
		}

		await fleet.clock.advance(startTime);
		return fleet;
	}

	readonly clock: PausedClock;
	readonly outside: OutsideSystems;
	readonly entries: readonly EntryProcess[];
	readonly asked: Asked[] = [];
	#listener: ((moment: Moment) => void) | undefined;

	private constructor(clock: PausedClock) {
		this.clock = clock;
		this.outside = new OutsideSystems();
		const log = new EventLog({write: () => undefined});
		this.entries = ['entry-1', 'entry-2'].map(name => new EntryProcess({
			name,
			outside: this.outside,
			configuration,
			log,
			onStoreCall: (call, moment) => {
				this.#listener?.({
					kind: 'store', entry: name, call, moment,
				});
			},
		}));
	}

	/** Calls back at each moment; replaces an earlier listener. */
	listen(listener: (moment: Moment) => void): void {
		this.#listener = listener;
	}

	/**
	 * Sends a request to an instance.
	 *
	 * @param onCreated - Given the request before anything happens to it.
	 */
	ask(entry: EntryProcess, question: Question, onCreated: (asked: Asked) => void = () => undefined): Asked {
		const asked = new Asked(question, entry, state => {
			this.#listener?.({kind: 'state', requestId: question.requestId, state});
		});
		this.asked.push(asked);
		onCreated(asked);
		this.#listener?.({kind: 'state', requestId: question.requestId, state: 'received'});
		void asked.run();
		return asked;
	}

	/** Ends all faults of the outside systems. */
	clearFaults(): void {
		this.outside.table.faults.clear();
		this.outside.objects.faults.clear();
		this.outside.instances.faults.clear();
		for (const upstream of [...this.outside.engines, ...this.outside.services]) {
			upstream.faults.clear();
		}
	}

	/** Rules that were broken so far, each in one sentence. */
	brokenPromises(): string[] {
		return this.asked.flatMap(asked => [...this.#brokenFor(asked)]);
	}

	async stop(): Promise<void> {
		for (const entry of this.entries) {
			entry.boundary.die();
		}

		await Promise.all(this.entries.map(async entry => entry.stop()));
		await this.outside.close();
		this.clock.release();
	}

	* #brokenFor({question, reply, askedAt, repliedAt}: Asked): Generator<string> {
		const {requestId, deadline, nonIdempotent, idempotencyKey} = question;
		const endingGrace = 1000;
		if ((repliedAt ?? performance.now()) > askedAt + deadline + endingGrace) {
			yield `request ${requestId} did not end within its time`;
		}

		if (reply?.kind === 'answered' && !reply.whole) {
			yield `request ${requestId} got an answer that is not its own whole one`;
		}

		const runs = this.outside.runsOf(requestId);
		if (reply?.kind === 'failed' && reply.ran === 'no' && runs > 0) {
			yield `request ${requestId} was said not to have run and ran`;
		}

		if (nonIdempotent && runs > 1) {
			yield `non-idempotent request ${requestId} ran ${runs} times`;
		}

		if (idempotencyKey !== undefined && this.#runsOfKey(idempotencyKey) > 1) {
			yield `idempotency key ${idempotencyKey} ran more than once`;
		}
	}

	#runsOfKey(key: string): number {
		return this.asked
			.filter(({question}) => question.idempotencyKey === key)
			.reduce((sum, {question}) => sum + this.outside.runsOf(question.requestId), 0);
	}
}
