/**
 * Servers that cannot accept a connection.
 *
 * @module
 */
import net from 'node:net';
import test from 'ava';
import {EventLog, parseFields} from '../../telemetry/log.js';
import {openServer} from '../ports.js';

// Guards against a process that ends because no descriptor is left for a connection: an error without a listener is thrown.
test('connections that are not accepted leave the server open, and are reported once a second at most', async t => {
	const lines: string[] = [];
	const server = net.createServer();
	t.teardown(() => {
		server.close();
	});
	await openServer(server, {host: '127.0.0.1', port: 0}, new EventLog({
		write(line) {
			lines.push(line);
		},
	}));
	for (let count = 0; count < 3; count++) {
		server.emit('error', Object.assign(new Error('accept EMFILE'), {code: 'EMFILE'}));
	}

	t.true(server.listening);
	t.is(lines.length, 1);
	t.like(parseFields(lines[0]!), {event: 'connection.not-accepted', reason: 'accept EMFILE'});
});
