/**
 * Bytes at the ports of an instance that are meant for other instances.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {writeInterval, writeWithoutEnd} from './endless-writer.js';
import type {PeerFlood} from './flood-faults.js';
import {portOf} from './ports.js';

/** Datagrams in each write interval, and their greatest length in bytes. */
const datagramsAtOnce = 20;
const longestDatagram = 1400;

const relayConnections = 10;
const filler = Buffer.alloc(16_384, 'x');

/** Floods a port of an address for a time in milliseconds. */
export async function floodPeerPort(ip: string, flood: PeerFlood, {duration, seed}: {duration: number; seed: number}): Promise<void> {
	if (flood === 'datagrams') {
		await sendDatagrams(ip, duration, seed);
		return;
	}

	const sockets = Array.from({length: relayConnections}, () => net.connect(portOf('relay'), ip).on('error', () => undefined));
	for (const socket of sockets) {
		socket.write(flood === 'relay-head' ? 'CONNECT 127.0.0.1:1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nX-Long: ' : '\0');
		writeWithoutEnd(socket, () => filler);
	}

	await sleep(duration);
	for (const socket of sockets) {
		socket.destroy();
	}
}

async function sendDatagrams(ip: string, duration: number, seed: number): Promise<void> {
	const generator = xoroshiro128plus(seed);
	const socket = createSocket('udp4').on('error', () => undefined);
	const endsAt = performance.now() + duration;
	while (performance.now() < endsAt) {
		for (let count = 0; count < datagramsAtOnce; count++) {
			const length = uniformInt(generator, 0, longestDatagram);
			socket.send(Buffer.from(Array.from({length}, () => uniformInt(generator, 0, 255))), portOf('peers'), ip);
		}

		await sleep(writeInterval); // eslint-disable-line no-await-in-loop
	}

	socket.close();
}
