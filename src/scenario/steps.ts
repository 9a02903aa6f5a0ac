/**
 * The sentences of the scenario language.
 *
 * @module
 */
import {CarobquayError} from '../errors/errors.js';
import type {Asked, Question} from './caller.js';
import type {EntryProcess} from './entry-process.js';
import type {StoreCall} from './guarded-clients.js';
import type {SimulatedFleet} from './simulated-fleet.js';

/** Time in milliseconds until callers give up. */
const deadline = 30_000;

/** Answer tokens of a question. */
const answerTokens = 30;

/** Writes of a claim, by the words for them. */
const claimWrites: Readonly<Record<string, StoreCall>> = {
	claim: 'write-claim', 'sent mark': 'write-sent', ending: 'write-ending',
};

/** A course that a scenario takes, with the callers it names. */
export class ScenarioWorld {
	readonly fleet: SimulatedFleet;
	readonly #callers = new Map<string, Asked>();
	#crowd = 0;

	constructor(fleet: SimulatedFleet) {
		this.fleet = fleet;
	}

	confirm(caller: string, instance: string, booking: string): void {
		this.#ask(caller, instance, {
			kind: 'call', nonIdempotent: true, idempotencyKey: booking, text: booking, streams: false,
		});
	}

	question(caller: string, instance: string, text: string): void {
		this.#ask(caller, instance, {
			kind: 'prompt', nonIdempotent: false, idempotencyKey: undefined, text, streams: true,
		});
	}

	/** Lets callers confirm bookings or ask questions, in turns and at even distances over a time in milliseconds. */
	async crowd(count: number, kind: 'confirm' | 'question', duration: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			this.#crowd += 1;
			const name = `crowd-${this.#crowd}`;
			const instance = this.fleet.entries[index % this.fleet.entries.length]!.name;
			this[kind](name, instance, `slot-${this.#crowd}`);
			await this.fleet.clock.advance(duration / count); // eslint-disable-line no-await-in-loop
		}
	}

	/** Pauses an instance once, when a write of a claim is about to leave it. */
	pauseBefore(instance: string, duration: number, write: string): void {
		const call = claimWrites[write];
		let done = false;
		this.fleet.listen(moment => {
			if (!done && moment.kind === 'store' && moment.entry === instance && moment.call === call && moment.moment === 'before') {
				done = true;
				this.entry(instance).boundary.pause(duration);
			}
		});
	}

	entry(name: string): EntryProcess {
		return this.#found(this.fleet.entries.find(entry => entry.name === name), `instance "${name}"`);
	}

	caller(name: string): Asked {
		return this.#found(this.#callers.get(name), `caller "${name}"`);
	}

	#ask(caller: string, instance: string, question: Omit<Question, 'requestId' | 'deadline' | 'answerTokens'>): void {
		this.#callers.set(caller, this.fleet.ask(this.entry(instance), {
			requestId: caller, deadline, answerTokens, ...question,
		}));
	}

	#found<Value>(value: Value | undefined, name: string): Value {
		if (value === undefined) {
			throw new CarobquayError('7002', {message: `the scenario has no ${name}`});
		}

		return value;
	}
}

/** What a sentence does. Its parameters come from the expression, in order. */
export type StepDefinition = {
	expression: string;
	run: (world: ScenarioWorld, parameters: readonly unknown[]) => Promise<void> | void;
};

function step<Parameters extends readonly unknown[]>(
	expression: string,
	run: (world: ScenarioWorld, ...parameters: Parameters) => Promise<void> | void,
): StepDefinition {
	return {
		expression,
		// The expression's parameter types make the values that the function takes.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		run: async (world, parameters) => run(world, ...parameters as Parameters),
	};
}

function expect(isMet: boolean, message: string): void {
	if (!isMet) {
		throw new CarobquayError('5900', {message, ran: 'no'});
	}
}

/** All sentences. */
export const stepDefinitions: readonly StepDefinition[] = [
	step('{word} asks {word} to confirm booking {string}', (world, caller: string, instance: string, booking: string) => {
		world.confirm(caller, instance, booking);
	}),
	step('{word} asks {word} {string}', (world, caller: string, instance: string, text: string) => {
		world.question(caller, instance, text);
	}),
	step('{int} callers confirm bookings over {duration}', async (world, count: number, duration: number) => world.crowd(count, 'confirm', duration)),
	step('{int} callers ask questions over {duration}', async (world, count: number, duration: number) => world.crowd(count, 'question', duration)),
	step('{word} will be paused for {duration} before its {claimWrite} reaches the table', (world, instance: string, duration: number, write: string) => {
		world.pauseBefore(instance, duration, write);
	}),
	step('the next answer of the table will be lost', world => {
		world.fleet.outside.table.faults.set({loseAnswers: 1});
	}),
	step('the store goes out', world => {
		world.fleet.outside.table.faults.set({down: true});
		world.fleet.outside.objects.faults.set({down: true});
	}),
	step('the store comes back', world => {
		world.fleet.outside.table.faults.clear();
		world.fleet.outside.objects.faults.clear();
	}),
	step('{word} dies', (world, instance: string) => {
		world.entry(instance).boundary.die();
	}),
	step('{duration} pass(es)', async (world, duration: number) => world.fleet.clock.advance(duration)),
	step('{word} has the whole answer', (world, caller: string) => {
		const {reply} = world.caller(caller);
		expect(reply?.kind === 'answered' && reply.whole, `${caller} got ${JSON.stringify(reply)}`);
	}),
	step('{word} is told error {int}', (world, caller: string, code: number) => {
		const {reply} = world.caller(caller);
		expect(reply?.kind === 'failed' && reply.code === `${code}`, `${caller} got ${JSON.stringify(reply)}`);
	}),
	step('{word} has lost the connection', (world, caller: string) => {
		const {reply} = world.caller(caller);
		expect(reply?.kind === 'disconnected', `${caller} got ${JSON.stringify(reply)}`);
	}),
	step('booking {string} ran {int} time(s)', (world, booking: string, times: number) => {
		const effects = world.fleet.outside.effectsOfKey(booking);
		expect(effects === times, `booking "${booking}" ran ${effects} times`);
	}),
	step('each confirmation was answered or told that it did not run', world => {
		const wrong = world.fleet.asked.filter(({question, reply}) => question.nonIdempotent
			&& !(reply?.kind === 'answered' || (reply?.kind === 'failed' && reply.ran === 'no')));
		expect(wrong.length === 0, `${wrong.length} confirmations ended otherwise, the first with ${JSON.stringify(wrong[0]?.reply)}`);
	}),
	step('each question was answered', world => {
		const wrong = world.fleet.asked.filter(({question, reply}) => question.kind === 'prompt' && reply?.kind !== 'answered');
		expect(wrong.length === 0, `${wrong.length} questions were not answered, the first got ${JSON.stringify(wrong[0]?.reply)}`);
	}),
	step('all promises hold', world => {
		const {blocks} = world.fleet.outside.heldByEngines();
		const broken = [...world.fleet.brokenPromises(), ...(blocks > 0 ? [`engines still hold ${blocks} blocks`] : [])];
		expect(broken.length === 0, broken.join('; '));
	}),
];
