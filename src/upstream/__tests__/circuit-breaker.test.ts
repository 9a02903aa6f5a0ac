import test from 'ava';
import {CircuitBreaker, type CircuitState} from '../circuit-breaker.js';

type Step = {at: number; do: 'fail' | 'succeed' | 'abandon' | 'pass' | 'blocked'};

const fiveFailures: Step[] = Array.from({length: 5}, () => ({at: 0, do: 'fail'}));

const cases: Array<{name: string; steps: Step[]; state: CircuitState}> = [
	{name: 'stays closed below the limit', steps: [...fiveFailures.slice(1), {at: 0, do: 'pass'}], state: 'closed'},
	{name: 'counts failures in a row only', steps: [...fiveFailures.slice(1), {at: 0, do: 'succeed'}, ...fiveFailures.slice(1)], state: 'closed'},
	{name: 'opens at the limit', steps: [...fiveFailures, {at: 999, do: 'blocked'}], state: 'open'},
	{name: 'lets one probe through', steps: [...fiveFailures, {at: 1000, do: 'pass'}, {at: 1000, do: 'blocked'}], state: 'half-open'},
	{name: 'closes after a good probe', steps: [...fiveFailures, {at: 1000, do: 'pass'}, {at: 1100, do: 'succeed'}, {at: 1100, do: 'pass'}], state: 'closed'},
	{name: 'opens for longer after a failed probe', steps: [...fiveFailures, {at: 1000, do: 'pass'}, {at: 1000, do: 'fail'}, {at: 2999, do: 'blocked'}], state: 'open'},
	{name: 'lets another probe through after an abandoned one', steps: [...fiveFailures, {at: 1000, do: 'pass'}, {at: 1100, do: 'abandon'}, {at: 1100, do: 'pass'}], state: 'half-open'},
	{name: 'gives up a probe without an outcome', steps: [...fiveFailures, {at: 1000, do: 'pass'}, {at: 30_999, do: 'blocked'}, {at: 31_000, do: 'pass'}], state: 'half-open'},
];

/** Takes a step; for an attempt to pass, returns whether it did. */
function take(circuit: CircuitBreaker, {at, do: action}: Step): Step['do'] {
	switch (action) {
		case 'fail': {
			circuit.recordFailure(at);
			return action;
		}

		case 'succeed': {
			circuit.recordSuccess();
			return action;
		}

		case 'abandon': {
			circuit.recordInconclusive(at);
			return action;
		}

		case 'pass':
		case 'blocked': {
			return circuit.tryAcquirePermission(at) ? 'pass' : 'blocked';
		}
	}
}

for (const {name, steps, state} of cases) {
	test(`circuit ${name}`, t => {
		const circuit = new CircuitBreaker(() => 0);

		t.deepEqual(steps.map(step => take(circuit, step)), steps.map(({do: action}) => action));
		t.is(circuit.state, state);
	});
}
