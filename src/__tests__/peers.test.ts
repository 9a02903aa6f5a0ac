import test from 'ava';
import {request} from 'undici';
import {ProcessFleet} from './support/processes.js';

test.serial('entries as processes see each other and are told when one leaves', async t => {
	const fleet = await ProcessFleet.start({settings: '[peers]\nkeys = shared-key\n[upstreams]\ndirect_limit = 0'});
	t.teardown(async () => fleet.stop());
	await Promise.all(fleet.entries.map(async ({process}, index) => {
		const [, address] = await process.line(/event=fleet\.listening .*address=(\S+)/v);
		await fleet.declare('entry', `entry-${index + 1}`, address!);
	}));

	await fleet.entries[0]!.process.line(/event=fleet\.member .*member=entry-2 from=unknown to=alive/v);
	await fleet.entries[1]!.process.line(/event=fleet\.member .*member=entry-1 from=unknown to=alive/v);

	fleet.entries[1]!.process.signal('SIGTERM');
	await fleet.entries[0]!.process.line(/event=fleet\.member .*member=entry-2 from=alive to=leaving/v);
	t.is(await fleet.entries[1]!.process.exited(), 0);
	const status = await request(`http://${fleet.entries[0]!.operators}/v1/status`);
	t.like(await status.body.json(), {members: [{name: 'entry-1', state: 'alive'}, {name: 'entry-2', state: 'leaving'}]});
});
