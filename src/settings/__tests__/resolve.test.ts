import test from 'ava';
import {CarobquayError} from '../../errors/errors.js';
import {resolveSettings} from '../resolve.js';

const smallest = '[instance]\nname = entry-1\n[platform]\nadapter = memory\n';

test('defaults are filled in, times in milliseconds and sizes in bytes', t => {
	const settings = resolveSettings(`${smallest}[limits]\nbody = 4 MiB\n[upstreams]\nsilence = 250 ms\n[peers]\nkeys = new, old\n`, 'entry.ini');
	t.is(settings.callers.port, 8080);
	t.is(settings.limits.body, 4_194_304);
	t.is(settings.limits.shutdown, 900_000);
	t.is(settings.upstreams.silence, 250);
	t.deepEqual(settings.peers.keys, ['new', 'old']);
});

const faults: Array<{name: string; text: string; message: string}> = [
	{name: 'a missing key', text: '[platform]\nadapter = memory\n', message: 'entry.ini: [instance] name is missing; write name = entry-ist-a-1'},
	{name: 'an unknown key with a close one', text: `${smallest}[callers]\nprot = 1\n`, message: 'entry.ini: [callers] prot is not known; did you mean "port"?'},
	{name: 'an unknown section with a close one', text: `${smallest}[caller]\nport = 1\n`, message: 'entry.ini: section [caller] is not known; did you mean "callers"?'},
	{name: 'a key before any section', text: `port = 1\n${smallest}`, message: 'entry.ini: key "port" stands before any [section]'},
	{
		name: 'a time without its unit',
		text: `${smallest}[upstreams]\nsilence = 5\n`,
		message: 'entry.ini: [upstreams] silence = 5: expected a time with a unit of ms, s, m, h, d; for example silence = 5 s',
	},
	{
		name: 'a port out of range',
		text: `${smallest}[callers]\nport = 70000\n`,
		message: 'entry.ini: [callers] port = 70000: expected a whole number from 0 to 65535; for example port = 8080',
	},
	{
		name: 'a platform without addresses',
		text: '[instance]\nname = entry-1\n[platform]\nobjects = 10.0.0.1:1\ninstances = 10.0.0.1:2\nweights = 10.0.0.1:3\n',
		message: 'entry.ini: [platform] table is missing; with adapter = http write table = 10.0.9.1:7001',
	},
	{
		name: 'two faults at once',
		text: '[platform]\nadapter = memory\n[log]\nlevel = loud\n',
		message: 'entry.ini: [log] level = loud: expected debug, info, warn or error; for example level = info',
	},
];

for (const {name, text, message} of faults) {
	test(`${name} is named with its mend`, t => {
		const error = t.throws(() => resolveSettings(text, 'entry.ini'), {instanceOf: CarobquayError});
		t.is(error.code, '7001');
		t.true(error.message.split('\n').includes(message), `got: ${error.message}`);
	});
}
