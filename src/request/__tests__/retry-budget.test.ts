import test from 'ava';
import {RetryBudgets} from '../retry-budget.js';

const cases: Array<{name: string; requests: number; retries: number; allowed: number}> = [
	{
		name: 'a new customer has the greatest saving', requests: 1, retries: 30, allowed: 10,
	},
	{
		name: 'ten requests pay for one retry', requests: 100, retries: 300, allowed: 19,
	},
];

for (const {name, requests, retries, allowed} of cases) {
	test(`retry budget: ${name}`, t => {
		const budgets = new RetryBudgets();
		let granted = 0;
		for (let request = 0; request < requests; request++) {
			budgets.recordRequest('okul-12', 'booking-api');
			for (let retry = 0; retry < retries / requests; retry++) {
				granted += budgets.tryConsumeRetry('okul-12', 'booking-api') ? 1 : 0;
			}
		}

		t.is(granted, allowed);
		t.true(budgets.tryConsumeRetry('okul-13', 'booking-api'), 'another customer has a budget of its own');
	});
}
