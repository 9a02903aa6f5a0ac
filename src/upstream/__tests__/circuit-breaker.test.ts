import test from 'ava';
import {CircuitBreaker, type CircuitPermission, type CircuitState} from '../circuit-breaker.js';

/** Outcomes are those of the last permitted request, or with `late` those of a request that was permitted before the circuit opened. */
type Step = {at: number; do: 'fail' | 'succeed' | 'inconclusive' | 'late fail' | 'late succeed' | 'late inconclusive' | 'permitted' | 'rejected'};

const fiveFailures: Step[] = Array.from({length: 5}, () => ({at: 0, do: 'fail'}));

const cases: Array<{name: string; steps: Step[]; state: CircuitState}> = [
	{name: 'stays closed below the failure threshold', steps: [...fiveFailures.slice(1), {at: 0, do: 'permitted'}], state: 'closed'},
	{name: 'counts consecutive failures only', steps: [...fiveFailures.slice(1), {at: 0, do: 'succeed'}, ...fiveFailures.slice(1)], state: 'closed'},
	{name: 'opens at the failure threshold', steps: [...fiveFailures, {at: 999, do: 'rejected'}], state: 'open'},
	{name: 'permits one probe after the open duration', steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 1000, do: 'rejected'}], state: 'half-open'},
	{name: 'closes after a successful probe', steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 1100, do: 'succeed'}, {at: 1100, do: 'permitted'}], state: 'closed'},
	{name: 'opens for longer after a failed probe', steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 1000, do: 'fail'}, {at: 2999, do: 'rejected'}], state: 'open'},
	{name: 'permits another probe after an inconclusive one', steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 1100, do: 'inconclusive'}, {at: 1100, do: 'permitted'}], state: 'half-open'},
	{name: 'permits another probe after the probe timeout', steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 30_999, do: 'rejected'}, {at: 31_000, do: 'permitted'}], state: 'half-open'},
	{
		name: 'stays half-open after the late failure of an earlier request',
		steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 1100, do: 'late fail'}, {at: 1100, do: 'rejected'}, {at: 1200, do: 'succeed'}],
		state: 'closed',
	},
	{
		name: 'stays half-open after the late success of an earlier request',
		steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 1100, do: 'late succeed'}, {at: 1100, do: 'rejected'}],
		state: 'half-open',
	},
	{name: 'stays open after the late success of an earlier request', steps: [...fiveFailures, {at: 500, do: 'late succeed'}, {at: 500, do: 'rejected'}], state: 'open'},
	{
		name: 'waits for its probe after a late outcome that shows nothing',
		steps: [...fiveFailures, {at: 1000, do: 'permitted'}, {at: 1100, do: 'late inconclusive'}, {at: 1100, do: 'rejected'}],
		state: 'half-open',
	},
];

/** Performs a step and returns what happened; a request for permission may turn out either way. */
function perform(circuitBreaker: CircuitBreaker, permissions: CircuitPermission[], {at, do: action}: Step): Step['do'] {
	const permission = action.startsWith('late') ? permissions[0]! : permissions.at(-1)!;
	switch (action) {
		case 'fail':
		case 'late fail': {
			circuitBreaker.recordFailure(permission, at);
			return action;
		}

		case 'succeed':
		case 'late succeed': {
			circuitBreaker.recordSuccess(permission);
			return action;
		}

		case 'inconclusive':
		case 'late inconclusive': {
			circuitBreaker.recordInconclusive(permission, at);
			return action;
		}

		case 'permitted':
		case 'rejected': {
			const granted = circuitBreaker.tryAcquirePermission(at);
			permissions.push(...granted === undefined ? [] : [granted]);
			return granted === undefined ? 'rejected' : 'permitted';
		}
	}
}

for (const {name, steps, state} of cases) {
	test(`circuit breaker ${name}`, t => {
		const circuitBreaker = new CircuitBreaker(() => 0);
		const permissions = [circuitBreaker.tryAcquirePermission(0)!];

		t.deepEqual(steps.map(step => perform(circuitBreaker, permissions, step)), steps.map(({do: action}) => action));
		t.is(circuitBreaker.state, state);
	});
}
