import test from 'ava';
import {type Question} from '../../scenario/caller.js';
import {SimulatedFleet} from '../../scenario/simulated-fleet.js';

const question: Question = {
	kind: 'call', requestId: 'r1', deadline: 20_000, nonIdempotent: false, idempotencyKey: undefined, text: 'lookup', answerTokens: 40, streams: true,
};

const cases: Array<{subject: string; kind: Question['kind']}> = [
	{subject: 'a service call', kind: 'call'},
	{subject: 'a prompt', kind: 'prompt'},
];

for (const {subject, kind} of cases) {
	test.serial(`${subject} is not reported as not run if all upstreams break after it was sent`, async t => {
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

		const request = fleet.ask(fleet.entries[0]!, {...question, kind});
		await fleet.clock.advance(question.deadline);

		t.is(request.reply?.kind, 'failed');
		t.true(fleet.outside.runsOf('r1') > 0);
		t.deepEqual(fleet.brokenPromises(), []);
	});
}
