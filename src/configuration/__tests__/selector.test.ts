import test from 'ava';
import {CarobquayError} from '../../errors/errors.js';
import {Selector} from '../selector.js';

const labels = {tier: 'standard', zone: 'ist-a', model: 'kohus-70b'};

const cases: Array<{text: string; matches: boolean}> = [
	{text: '', matches: true},
	{text: 'tier=standard', matches: true},
	{text: 'tier == standard', matches: true},
	{text: 'tier!=standard', matches: false},
	{text: 'absent!=x', matches: true},
	{text: 'zone in (ist-a, ist-b)', matches: true},
	{text: 'zone in (kocaeli)', matches: false},
	{text: 'zone notin (kocaeli)', matches: true},
	{text: 'absent notin (x)', matches: true},
	{text: 'absent in (x)', matches: false},
	{text: 'zone', matches: true},
	{text: '!zone', matches: false},
	{text: '!draining, tier=standard, zone in (ist-a, kocaeli)', matches: true},
	{text: 'toString', matches: false},
];

for (const {text, matches} of cases) {
	test(`selector "${text}" ${matches ? 'matches' : 'does not match'}`, t => {
		const selector = Selector.parse(text);
		t.is(selector.matches(labels), matches);
		t.is(Selector.parse(selector.toString()).matches(labels), matches);
	});
}

for (const text of ['=x', 'a b', 'zone in ist-a', 'zone in (', '!', 'a=b=c']) {
	test(`selector "${text}" is refused with its text`, t => {
		const error = t.throws(() => Selector.parse(text), {instanceOf: CarobquayError});
		t.is(error.code, '6001');
		t.true(error.message.includes(text));
	});
}
