import test from 'ava';
import {knownRedTitles, parseTapLine, tally} from '../tap.js';

const output = ['TAP version 13', 'ok 1 - adds', 'not ok 2 - subtracts', 'not ok 3 - divides', '1..3'];
const results = output.map(line => parseTapLine(line)).filter(result => result !== undefined);

const cases: Array<{name: string; list: string; failed: number; known: string[]; repaired: string[]}> = [
	{
		name: 'an empty list', list: '# none', failed: 2, known: [], repaired: [],
	},
	{
		name: 'one known failure', list: 'test: divides\ncommand: x', failed: 1, known: ['divides'], repaired: [],
	},
	{
		name: 'a listed test that passes', list: 'test: adds', failed: 2, known: [], repaired: ['adds'],
	},
];

for (const {name, list, failed, known, repaired} of cases) {
	test(`tally with ${name}`, t => {
		const counted = tally(results, knownRedTitles(list));
		t.deepEqual(counted, {
			passed: 1, failed, knownFailures: known, repaired,
		});
	});
}
