import fc from 'fast-check';
import test from 'ava';
import {type Question} from '../../scenario/caller.js';
import {SimulatedFleet} from '../../scenario/simulated-fleet.js';

const seed = 4;
const runs = 200;
const deadline = 20_000;

const question: Omit<Question, 'requestId'> = {
	kind: 'call', deadline, nonIdempotent: true, idempotencyKey: 'booking-7', text: 'confirm', answerTokens: 0, streams: false,
};

/** What may happen between two moments of a confirmation that is asked for again and again. */
const action = fc.oneof(
	fc.record({kind: fc.constant('ask' as const), entry: fc.nat(1)}),
	fc.record({kind: fc.constant('pause' as const), entry: fc.nat(1), milliseconds: fc.constantFrom(50, 5000, 15_000)}),
	fc.record({kind: fc.constant('advance' as const), milliseconds: fc.constantFrom(20, 50, 60, 150, 1000, 12_000)}),
	fc.record({kind: fc.constant('lose-answer' as const), lateEffect: fc.constantFrom(0, 3000)}),
	fc.record({kind: fc.constant('table-down' as const), down: fc.boolean()}),
	fc.record({kind: fc.constant('cut' as const), service: fc.nat(1)}),
	fc.record({kind: fc.constant('refuse' as const), service: fc.nat(1), refusing: fc.boolean()}),
	fc.record({kind: fc.constant('die' as const), entry: fc.constant(1)}),
);

type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never;

async function perform(fleet: SimulatedFleet, step: Action): Promise<void> {
	const {outside, entries, clock, asked} = fleet;
	switch (step.kind) {
		case 'ask': {
			fleet.ask(entries[step.entry]!, {...question, requestId: `r${asked.length}`});
			break;
		}

		case 'pause': {
			entries[step.entry]!.boundary.pause(step.milliseconds);
			break;
		}

		case 'advance': {
			await clock.advance(step.milliseconds);
			break;
		}

		case 'lose-answer': {
			outside.table.faults.set({loseAnswers: 1, lateEffect: step.lateEffect});
			break;
		}

		case 'table-down': {
			outside.table.faults.set({down: step.down});
			break;
		}

		case 'cut': {
			outside.services[step.service]!.faults.apply({cut: true});
			break;
		}

		case 'refuse': {
			outside.services[step.service]!.faults.apply({availability: step.refusing ? 'refusing' : 'up'});
			break;
		}

		case 'die': {
			entries[step.entry]!.boundary.die();
			break;
		}
	}
}

test.serial('a confirmation runs at most once in any course of asking, pausing, dying and losing answers', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(fc.array(action, {minLength: 4, maxLength: 16}), async steps => {
		const fleet = await SimulatedFleet.start(seed);
		try {
			fleet.ask(fleet.entries[0]!, {...question, requestId: 'r0'});
			for (const step of steps) {
				await perform(fleet, step); // eslint-disable-line no-await-in-loop
			}

			await fleet.clock.advance(deadline);
			fleet.clearFaults();
			await fleet.clock.advance(deadline);
			const effects = fleet.outside.effectsOfKey(question.idempotencyKey!);
			if (effects > 1) {
				throw new Error(`ran ${effects} times`);
			}

			const broken = fleet.brokenPromises().filter(rule => !rule.includes('within its time'));
			if (broken.length > 0) {
				throw new Error(broken.join('; '));
			}
		} finally {
			await fleet.stop();
		}
	}), {seed, numRuns: runs}));
});
