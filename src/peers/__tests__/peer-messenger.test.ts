import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {EngineHealth} from '../../placement/engine-health.js';
import {LoadTracker} from '../../placement/load-tracker.js';
import {EventLog} from '../../telemetry/log.js';
import {PeerMessenger} from '../peer-messenger.js';

/** Port of these instances; each has a loopback address of its own. */
const port = 18_900;

function instance(lane: number, number: number) {
	const book = new LoadTracker();
	const ip = `127.${lane}.0.${number}`;
	const news = new PeerMessenger({
		ip, port, origin: `instance-${number}~1`, book, reputation: new EngineHealth(), log: new EventLog({write: () => undefined}),
		replicationStatus: () => ({
			isStoreWatcher: true, canReachStore: true, isRecoveringFromOutage: false, digests: [{version: 0, checksum: 0}, {version: 0, checksum: 0}],
		}),
		onReplicationStatus: () => undefined,
	});
	return {ip, news, book};
}

test('forty instances that begin with three seeds all know each other', async t => {
	const all = Array.from({length: 40}, (_, index) => instance(20, index + 1));
	t.teardown(() => {
		for (const {news} of all) {
			news.close();
		}
	});
	const seeds = all.slice(0, 3).map(({ip}) => ip);
	for (const {news} of all) {
		await news.start(); // eslint-disable-line no-await-in-loop
		news.contact(seeds);
		await sleep(5); // eslint-disable-line no-await-in-loop
	}

	for (let tries = 0; tries < 100 && all.some(({news}) => news.peerCount < all.length - 1); tries++) {
		await sleep(50); // eslint-disable-line no-await-in-loop
	}

	t.deepEqual(all.map(({news}) => news.peerCount), all.map(() => all.length - 1));
});

test('a placement of one instance is known to the others, and its end as well', async t => {
	const [one, other] = [instance(21, 1), instance(21, 2)];
	t.teardown(() => {
		one.news.close();
		other.news.close();
	});
	await one.news.start();
	await other.news.start();
	other.news.contact([one.ip]);
	await until(() => one.news.peerCount === 1 && other.news.peerCount === 1);

	one.news.placed({
		key: 'instance-1~1/1', eventGapTarget: 250, weight: 1, startsAt: performance.now(), expiresAt: performance.now() + 10_000,
		assignments: [{
			engineId: 'e', prefillTime: 500, kvCacheTokens: 100, runsDecode: true,
		}],
	});
	await until(() => other.book.size === 1);
	t.is(other.book.snapshot('e', performance.now()).running, 1);

	one.news.ended('instance-1~1/1');
	await until(() => other.book.size === 0);
	t.is(other.book.size, 0);
});

test('an instance that starts is told what the others have placed before', async t => {
	const [one, other] = [instance(22, 1), instance(22, 2)];
	t.teardown(() => {
		one.news.close();
		other.news.close();
	});
	await one.news.start();
	await other.news.start();
	const count = 250;
	for (let number = 1; number <= count; number++) {
		one.book.add({
			key: `instance-1~1/${number}`, eventGapTarget: 250, weight: 1, startsAt: performance.now(), expiresAt: performance.now() + 10_000,
			assignments: [{
				engineId: 'e', prefillTime: 500, kvCacheTokens: 100, runsDecode: true,
			}],
		}, performance.now());
	}

	one.book.completePrefill('instance-1~1/1', performance.now());

	other.news.contact([one.ip]);
	await until(() => other.book.size === count);

	t.is(other.book.snapshot('e', performance.now()).running, count);
	t.deepEqual(other.book.placementsOf('instance-1~1/').prefilledKeys, ['instance-1~1/1']);
});

async function until(holds: () => boolean): Promise<void> {
	for (let tries = 0; tries < 100 && !holds(); tries++) {
		await sleep(20); // eslint-disable-line no-await-in-loop
	}
}
