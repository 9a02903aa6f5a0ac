/**
 * Runs one cell of the matrix: one fault at one step of one course.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {match} from 'ts-pattern';
import type {Asked, Question} from '../../src/scenario/caller.js';
import {type Moment, SimulatedFleet} from '../../src/scenario/simulated-fleet.js';
import {faultDuration, type Fault} from './faults.js';
import {type Flow, longText, type Step} from './flows.js';

/** How a cell came out. */
export type Verdict
	= | {kind: 'held'}
		/** All promises held, and the request ended otherwise than with its answer for this reason. */
		| {kind: 'allowed'; reason: string}
		| {kind: 'known-red'; seen: string}
		/** The step was never reached, so that the fault was not tried. */
		| {kind: 'missing'};

export type Cell = {flow: string; step: Step; fault: string; verdict: Verdict};

/** Time in milliseconds after the request's end in which everything must have settled. */
const settleTime = 30_000;

/** Time in milliseconds between the end of a fault that ends by itself and that of all others. */
const afterFaults = 3000;

/** Time in milliseconds that a request asked before the one under test gets. */
const preludeTime = 5000;

/** Time in milliseconds after which the connection of a request that was sent is in use. */
const connectTime = 5;

/** Time in milliseconds after which a caller asks again. */
const askAgainAfter = 2000;

/** Long prompts that occupy the engine for them. */
const longPrompts = 1;

/** Runs a cell. */
export async function runCell(flow: Flow, step: Step, fault: Fault, seed: number): Promise<Cell> {
	const fleet = await SimulatedFleet.start(seed);
	try {
		const verdict = await new CellRun(fleet, flow, step, fault).run();
		return {
			flow: flow.name, step, fault: fault.name, verdict,
		};
	} finally {
		await fleet.stop();
	}
}

class CellRun {
	readonly #fleet: SimulatedFleet;
	readonly #flow: Flow;
	readonly #step: Step;
	readonly #fault: Fault;
	#asked: Asked | undefined;
	#last: Asked | undefined;
	#injected = false;

	constructor(fleet: SimulatedFleet, flow: Flow, step: Step, fault: Fault) {
		this.#fleet = fleet;
		this.#flow = flow;
		this.#step = step;
		this.#fault = fault;
	}

	async run(): Promise<Verdict> {
		await this.#prepare();
		this.#fleet.listen(moment => {
			this.#observe(moment);
		});
		const asked = this.#ask('subject', 0);
		await this.#fleet.clock.advance(faultDuration + afterFaults);
		this.#fleet.clearFaults();
		await this.#fleet.clock.advanceUntil(() => asked.reply !== undefined, this.#flow.question.deadline);
		await this.#askUntilKnown();
		await this.#fleet.clock.advanceUntil(() => this.#isIdle(), settleTime);
		return this.#injected ? this.#judge(asked) : {kind: 'missing'};
	}

	async #prepare(): Promise<void> {
		await match(this.#flow.before ?? 'nothing')
			.with('nothing', async () => undefined)
			.with('lost-claim-answer', async () => {
				this.#fleet.outside.table.faults.set({loseAnswers: 1});
			})
			.with('answered-elsewhere', async () => {
				this.#ask('first', 1);
				await this.#fleet.clock.advance(preludeTime);
			})
			.with('busy-engines', async () => {
				for (let index = 0; index < longPrompts; index++) {
					this.#fleet.ask(this.#fleet.entries[0]!, {...this.#flow.question, requestId: `long-${index}`, text: `${index} ${longText}`});
				}
			})
			.exhaustive();
	}

	#ask(requestId: string, entry: number): Asked {
		const question: Question = {...this.#flow.question, requestId};
		const asked = this.#fleet.ask(this.#fleet.entries[entry]!, question, created => {
			this.#asked ??= requestId === 'subject' ? created : undefined;
		});
		return asked;
	}

	/** Whoever used a key asks at the other instance, when all faults are over, until it is told the outcome. */
	async #askUntilKnown(): Promise<void> {
		const {idempotencyKey, deadline} = this.#flow.question;
		if (idempotencyKey === undefined) {
			return;
		}

		const giveUpAt = performance.now() + deadline;
		do {
			this.#last = this.#ask(`last-${this.#fleet.asked.length}`, 1);
			await this.#fleet.clock.advanceUntil(() => this.#last?.reply !== undefined, deadline); // eslint-disable-line no-await-in-loop
			await this.#fleet.clock.advance(askAgainAfter); // eslint-disable-line no-await-in-loop
		} while (codeOf(this.#last) === '4007' && performance.now() < giveUpAt);
	}

	#observe(moment: Moment): void {
		if (moment.kind === 'state' && moment.requestId === 'subject' && moment.state === 'sent' && this.#step === 'under way') {
			setTimeout(() => {
				this.#inject();
			}, connectTime);
			return;
		}

		const reached = moment.kind === 'state'
			? moment.requestId === 'subject' && this.#step === `state ${moment.state}`
			: moment.entry === 'entry-1' && this.#step === `${moment.call} ${moment.moment}`;
		if (reached) {
			this.#inject();
		}
	}

	#inject(): void {
		if (this.#injected || this.#asked === undefined) {
			return;
		}

		this.#injected = true;
		this.#fault.inject({
			fleet: this.#fleet, asked: this.#asked, upstream: this.#upstream(), askAgain: () => {
				this.#ask('again', 1);
			},
		});
	}

	/** The upstream that works on the request, or the first of its kind. */
	#upstream() {
		const {engines, services} = this.#fleet.outside;
		const candidates = this.#flow.question.kind === 'prompt' ? engines : services;
		return candidates.find(({name}) => name === this.#fleet.entries[0]!.upstreamOf('subject')) ?? candidates[0]!;
	}

	#isIdle(): boolean {
		const {entries, asked, outside} = this.#fleet;
		const {streams, blocks} = outside.heldByEngines();
		return streams === 0 && blocks === 0 && asked.every(({reply}) => reply !== undefined)
			&& entries.every(({claims, boundary}) => claims.pendingEndings === 0 || boundary.death.aborted);
	}

	#judge(asked: Asked): Verdict {
		const broken = [...this.#fleet.brokenPromises(), ...this.#brokenByEngines(), ...this.#brokenByLast()];
		if (broken.length > 0) {
			return {kind: 'known-red', seen: [...new Set(broken)].join('; ')};
		}

		const {reply} = asked;
		if (reply?.kind === 'answered') {
			return {kind: 'held'};
		}

		const ending = reply?.kind === 'failed' ? reply.code : reply?.kind ?? 'none';
		const excuse = this.#fault.excuses[ending];
		return excuse === undefined
			? {kind: 'known-red', seen: `ended with ${ending}, which this fault does not excuse`}
			: {kind: 'allowed', reason: `${ending}: ${excuse}`};
	}

	* #brokenByEngines(): Generator<string> {
		const {blocks, streams} = this.#fleet.outside.heldByEngines();
		if (blocks > 0 || streams > 0) {
			yield `engines still hold ${blocks} blocks of ${streams} streams at ${Math.round(performance.now())} ms`;
		}
	}

	/** The caller who asks last must get the answer, or learn that the outcome is unknown. */
	* #brokenByLast(): Generator<string> {
		const last = this.#last;
		if (last !== undefined && last.reply?.kind !== 'answered' && codeOf(last) !== '4008') {
			yield `asked for the last time, the caller got ${JSON.stringify(last.reply)}`;
		}
	}
}

function codeOf({reply}: Asked): string | undefined {
	return reply?.kind === 'failed' ? reply.code : undefined;
}
