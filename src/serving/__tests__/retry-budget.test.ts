import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {RetryBudget} from '../retry-budget.js';

/** Bounds of the users' deployments: a fifth of the requests in ten seconds, and 106 beyond. */
const bounds = {ratio: 0.2, window: 10_000, allowance: 106};

const cases: Array<{name: string; instances: number; requests: number}> = [
	{name: 'nine instances that fail every request', instances: 9, requests: 100},
	{name: 'seventy instances with few requests', instances: 70, requests: 8},
	{name: 'one instance alone', instances: 1, requests: 300},
	{name: 'instances without requests', instances: 9, requests: 0},
];

for (const {name, instances, requests} of cases) {
	test.serial(`no window of ten seconds sees more repeats than allowed: ${name}`, t => {
		const clock = fakeTimers.install({toFake: ['performance']});
		t.teardown(() => {
			clock.uninstall();
		});
		const budgets = Array.from({length: instances}, () => new RetryBudget({...bounds, instanceCount: () => instances}));
		const repeats: number[] = [];
		for (let time = 0; time < 40_000; time += 100) {
			for (const budget of budgets) {
				for (let count = 0; count < requests / 100; count++) {
					budget.recordRequest('service');
				}

				while (budget.tryRetry('service')) {
					repeats.push(time);
				}
			}

			clock.tick(100);
		}

		const perWindow = Math.max(1, Math.ceil(requests / 100)) * 100 * instances * (requests === 0 ? 0 : 1);
		const allowed = (bounds.ratio * perWindow) + bounds.allowance;
		for (let from = 0; from <= 30_000; from += 500) {
			const count = repeats.filter(time => time >= from && time < from + bounds.window).length;
			t.true(count <= allowed, `${count} repeats from ${from} ms, allowed ${allowed}`);
		}
	});
}
