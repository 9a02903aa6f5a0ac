import test from 'ava';
import type {ServingConfiguration} from '../../serving/model.js';
import {EventLog} from '../../telemetry/log.js';
import {ActiveConfiguration} from '../active-configuration.js';

test('a configuration whose listener fails is in force, and the failure is not reported as an unreadable configuration', t => {
	const lines: string[] = [];
	const configuration: ServingConfiguration = {
		version: 3, routes: [], services: new Map(), limits: {maximumBodyBytes: 1, headerTimeout: 1, idleTimeout: 1}, customers: undefined,
	};
	const active = new ActiveConfiguration({
		key: 'config', decode: () => configuration,
		log: new EventLog({
			write(line) {
				lines.push(line);
			},
		}),
		onChange() {
			throw new Error('the listener is closed');
		},
	});

	active.apply('value', 'store');

	t.is(active.version, 3);
	t.false(lines.some(line => line.includes('event=configuration.unreadable')));
	t.true(lines.some(line => line.includes('event=configuration.listener-failed') && line.includes('the listener is closed')));
});

// Guards against a configuration that is handed back to an older one, or kept where the store now holds another one of its version.
const successions: Array<{name: string; values: string[]; expected: string}> = [
	{name: 'a later version', values: ['3 a', '4 b'], expected: '4 b'},
	{name: 'an earlier version', values: ['3 a', '2 b'], expected: '3 a'},
	{name: 'the same version with other contents', values: ['3 a', '3 b'], expected: '3 b'},
];

for (const {name, values, expected} of successions) {
	test(`${name} ${values.at(-1) === expected ? 'replaces' : 'does not replace'} the configuration in force`, t => {
		const active = new ActiveConfiguration({
			key: 'config', log: new EventLog({write: () => undefined}), onChange: () => undefined,
			decode: value => ({
				version: Number(value.split(' ')[0]), routes: [], services: new Map(), limits: {maximumBodyBytes: 1, headerTimeout: 1, idleTimeout: 1}, customers: undefined,
			}),
		});
		for (const value of values) {
			active.apply(value, 'store');
		}

		t.is(active.encodedValue, expected);
	});
}
