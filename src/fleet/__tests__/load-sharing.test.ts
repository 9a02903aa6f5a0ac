import test from 'ava';
import fakeTimers from '@sinonjs/fake-timers';
import type {ListedInstance} from '../../platform/instance-list.js';
import type {SharedLoad} from '../../upstream/directory.js';
import type {LoadDigest} from '../load-digest.js';
import {WatcherSharing} from '../load-sharing.js';

const idle: SharedLoad = {
	age: 0, running: 0, waiting: 0, pendingPromptTokens: 0, freeKvCacheFraction: 1, leaving: false,
};
const busy = {...idle, running: 9, pendingPromptTokens: 40_000};

function listed(count: number): ListedInstance[] {
	return Array.from({length: count}, (_, index) => ({
		name: `kohus-llm-${index}`, kind: 'engine', address: '127.0.0.1:1', failureDomain: 'tartu-a', region: 'tartu', state: 'live', labels: {},
	}));
}

type Case = {
	name: string; upstreams: number; isWatcher: boolean; loads: SharedLoad[]; every: number; published: number; interval: number;
};

const cases: Case[] = [
	{
		name: 'few upstreams: all instances read, none tells', upstreams: 40, isWatcher: true, loads: [idle, busy], every: 1000, published: 0, interval: 500,
	},
	{
		name: 'the watcher tells material changes', upstreams: 41, isWatcher: true, loads: [idle, busy, idle], every: 2000, published: 3, interval: 500,
	},
	{
		name: 'the watcher does not tell small changes', upstreams: 41, isWatcher: true, loads: [busy, {...busy, freeKvCacheFraction: 0.95}], every: 2000, published: 1, interval: 500,
	},
	{
		name: 'digests keep to the budget', upstreams: 600, isWatcher: true, loads: [idle, busy, idle, busy], every: 7000, published: 2, interval: 2400,
	},
	{
		name: 'others read seldom and do not tell', upstreams: 600, isWatcher: false, loads: [idle, busy], every: 5000, published: 0, interval: 1_200_000,
	},
	{
		name: 'anyone tells that an upstream is leaving', upstreams: 600, isWatcher: false, loads: [idle, {...idle, leaving: true}], every: 10, published: 1, interval: 1_200_000,
	},
	{
		name: 'leaving is told also where all read', upstreams: 8, isWatcher: false, loads: [{...idle, leaving: true}], every: 10, published: 1, interval: 500,
	},
];

for (const {
	name, upstreams, isWatcher, loads, every, published, interval,
} of cases) {
	test.serial(name, t => {
		const clock = fakeTimers.install({now: Date.UTC(2026, 5, 1), toFake: ['Date', 'performance']});
		t.teardown(() => {
			clock.uninstall();
		});
		const digests: LoadDigest[] = [];
		const sharing = new WatcherSharing({
			channel: {
				isWatcher: () => isWatcher,
				publishLoad(load) {
					digests.push(load);
				},
				isJoined: true,
				listRevision: 1,
				announceListRevision() {
					// Nothing listens.
				},
				setListed() {
					// Membership is not a part of this test.
				},
			},
			fanOut: 2,
			loadInterval: 500,
			directLimit: 40,
		});
		sharing.instanceListRead(listed(upstreams), 1);

		for (const load of loads) {
			sharing.loadRead('kohus-llm-1', load);
			clock.tick(every);
		}

		t.is(digests.length, published);
		t.is(sharing.loadInterval('kohus-llm-1'), interval);
		for (const digest of digests) {
			t.is(sharing.resolve(digest)?.upstream, 'kohus-llm-1');
		}
	});
}

const listCases: Array<{name: string; upstreams: number; isJoined: boolean; known: number; least: number; most: number}> = [
	{
		name: 'few upstreams: at the interval of the settings', upstreams: 40, isJoined: true, known: 1, least: 1000, most: 1000,
	},
	{
		name: 'many upstreams: seldom', upstreams: 600, isJoined: true, known: 1, least: 90_000, most: 90_000,
	},
	{
		name: 'many upstreams without a link: at the interval of the settings', upstreams: 600, isJoined: false, known: 1, least: 1000, most: 1000,
	},
	{
		name: 'a newer revision is known: soon', upstreams: 600, isJoined: true, known: 2, least: 0, most: 1200,
	},
];

for (const {
	name, upstreams, isJoined, known, least, most,
} of listCases) {
	test(`list, ${name}`, t => {
		const sharing = new WatcherSharing({
			channel: {
				isJoined,
				isWatcher: () => false,
				listRevision: known,
				announceListRevision: () => undefined,
				publishLoad: () => undefined,
				setListed: () => undefined,
			},
			fanOut: 2,
			loadInterval: 500,
			directLimit: 40,
		});
		sharing.instanceListRead(listed(upstreams), 1);

		const interval = sharing.listInterval(1000);

		t.true(interval >= least && interval <= most, `${interval} ms`);
	});
}
