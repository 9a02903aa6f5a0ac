import test from 'ava';
import {type Question} from '../../scenario/caller.js';
import {SimulatedFleet} from '../../scenario/simulated-fleet.js';

const question: Question = {
	kind: 'call', requestId: 'r1', deadline: 20_000, nonIdempotent: false, idempotencyKey: undefined, text: 'lookup', answerTokens: 40, streams: true,
};

const cases: Array<{name: string; kind: Question['kind']}> = [
	{name: 'a call whose upstreams all break after it was sent', kind: 'call'},
	{name: 'a prompt whose upstreams all break after it was sent', kind: 'prompt'},
];

for (const {name, kind} of cases) {
	test.serial(`${name} is not said not to have run`, async t => {
		const fleet = await SimulatedFleet.start(1);
		t.teardown(async () => fleet.stop());
		fleet.listen(moment => {
			if (moment.kind === 'state' && moment.state === 'sent') {
				setTimeout(() => {
					for (const upstream of [...fleet.outside.services, ...fleet.outside.engines]) {
						upstream.faults.apply({availability: 'refusing', cut: true});
					}
				}, 50);
			}
		});

		const asked = fleet.ask(fleet.entries[0]!, {...question, kind});
		await fleet.clock.advance(question.deadline);

		t.is(asked.reply?.kind, 'failed');
		t.true(fleet.outside.runsOf('r1') > 0);
		t.deepEqual(fleet.brokenPromises(), []);
	});
}
