import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {GroupCommit} from '../../platform/group-commit.js';
import {MemoryObjects} from '../../platform/memory/memory-objects.js';
import {MemoryTable} from '../../platform/memory/memory-table.js';
import {SettledWriter} from '../../platform/settled-write.js';
import {EventLog} from '../../telemetry/log.js';
import type {ClaimRecord} from '../claim.js';
import {ClaimSweeper} from '../claim-sweeper.js';
import {KeptAnswers} from '../kept-answers.js';

const record: ClaimRecord = {
	bodyHash: 'a', owner: 'entry-1/1', requestId: 'r1', attempt: 1, state: 'ended', until: 0, expiresAt: 100_000,
	ending: {outcome: 'answered', answer: {place: 'objects', key: 'answer/r1/1'}},
};

const cases: Array<{name: string; expiresAt: number; kept: boolean}> = [
	{name: 'whose time is over is deleted with its answer', expiresAt: 10_000, kept: false},
	{name: 'whose time is not over stays', expiresAt: 1_000_000, kept: true},
];

for (const {name, expiresAt, kept} of cases) {
	test.serial(`claim ${name}`, async t => {
		const clock = fakeTimers.install();
		const table = new MemoryTable();
		const objects = new MemoryObjects();
		const log = new EventLog({write: () => undefined});
		const sweeper = new ClaimSweeper({
			table, committer: new GroupCommit(new SettledWriter(table)), answers: new KeptAnswers(objects, log), log,
		});
		t.teardown(() => {
			sweeper.stop();
			clock.uninstall();
		});
		const written = Promise.all([
			table.transact({conditions: [], writes: [{kind: 'put', key: 'claim/a/k', value: {...record, expiresAt}}]}),
			objects.put('answer/r1/1', new Uint8Array(1)),
		]);
		await clock.tickAsync(10);
		await written;

		sweeper.start();
		await clock.tickAsync(130_000);

		t.is(table.inspect('claim/').length, kept ? 1 : 0);
		const object = objects.get('answer/r1/1');
		await clock.tickAsync(10);
		t.is((await object) !== undefined, kept);
	});
}
