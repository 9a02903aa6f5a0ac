import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {RetryBudget} from '../retry-budget.js';

/** Retry limits of the users' deployments: a fifth of the requests in ten seconds, and 106 retries beyond. */
const limits = {ratio: 0.2, window: 10_000, allowance: 106};

const cases: Array<{name: string; instanceCount: number; requests: number}> = [
	{name: 'nine instances that fail every request', instanceCount: 9, requests: 100},
	{name: 'seventy instances with few requests', instanceCount: 70, requests: 8},
	{name: 'a single instance', instanceCount: 1, requests: 300},
	{name: 'instances without requests', instanceCount: 9, requests: 0},
];

for (const {name, instanceCount, requests} of cases) {
	test.serial(`no window of ten seconds contains more retries than allowed: ${name}`, t => {
		const clock = fakeTimers.install({toFake: ['performance']});
		t.teardown(() => {
			clock.uninstall();
		});
		const budgets = Array.from({length: instanceCount}, () => new RetryBudget({...limits, instanceCount: () => instanceCount}));
		const retryTimes: number[] = [];
		for (let time = 0; time < 40_000; time += 100) {
			for (const budget of budgets) {
				for (let count = 0; count < requests / 100; count++) {
					budget.recordRequest('service');
				}

				while (budget.tryRetry('service')) {
					retryTimes.push(time);
				}
			}

			clock.tick(100);
		}

		const requestsPerWindow = Math.max(1, Math.ceil(requests / 100)) * 100 * instanceCount * (requests === 0 ? 0 : 1);
		const allowedRetries = (limits.ratio * requestsPerWindow) + limits.allowance;
		for (let from = 0; from <= 30_000; from += 500) {
			const retryCount = retryTimes.filter(time => time >= from && time < from + limits.window).length;
			t.true(retryCount <= allowedRetries, `${retryCount} retries from ${from} ms, allowed ${allowedRetries}`);
		}
	});
}
