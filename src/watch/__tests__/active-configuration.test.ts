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
