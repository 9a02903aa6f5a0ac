import test from 'ava';
import {type Question} from '../caller.js';
import {SimulatedFleet} from '../simulated-fleet.js';

/** Time in milliseconds after which a leaving upstream gets nothing new. */
const leaveTime = 3000;
const requests = 40;

const cases: Array<{kind: Question['kind']; upstream: string}> = [
	{kind: 'call', upstream: 'viide-app-1'},
	{kind: 'prompt', upstream: 'kohus-llm-2'},
];

for (const {kind, upstream} of cases) {
	test.serial(`${upstream} gets no ${kind} 3 s after it is declared leaving, and ends what it has`, async t => {
		const fleet = await SimulatedFleet.start(1);
		t.teardown(async () => fleet.stop());
		const sentTo = (from: number) => fleet.asked.slice(from).filter(({entry, question}) => entry.upstreamOf(question.requestId) === upstream).length;
		const ask = async () => {
			for (let index = 0; index < requests; index++) {
				fleet.ask(fleet.entries[index % 2]!, {
					kind, requestId: `r${fleet.asked.length}`, deadline: 20_000, nonIdempotent: true, idempotencyKey: undefined,
					text: `question ${index}`, answerTokens: 20, streams: false,
				});
				await fleet.clock.advance(10); // eslint-disable-line no-await-in-loop
			}
		};

		await ask();
		fleet.outside.declare(upstream, 'leaving');
		await fleet.clock.advance(leaveTime);
		const before = fleet.asked.length;
		await ask();
		await fleet.clock.advance(20_000);

		t.true(sentTo(0) > 0);
		t.is(sentTo(before), 0);
		t.true(fleet.asked.every(({reply}) => reply?.kind === 'answered' && reply.whole));
	});
}
