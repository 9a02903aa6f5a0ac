import {Buffer} from 'node:buffer';
import test from 'ava';
import {
	FrameError, FrameReader, FrameWriter, maximumUnauthenticatedFrame, protocolVersion,
} from '../frame.js';
import {parseMessage, packMessage, type PeerMessage} from '../messages.js';

const nonces = Buffer.alloc(32, 7);
const signing = {role: 'dialer', nonces} as const;

function firstFrame(key = 'new'): Uint8Array {
	return Buffer.from(new FrameWriter(key, signing).write([0, 'entry-1', 5]));
}

function altered(position: number, value: number): Uint8Array {
	const frame = firstFrame();
	frame[position] = value;
	return frame;
}

const refused: Array<{name: string; bytes: Uint8Array; reader?: FrameReader}> = [
	{name: 'a key that is not accepted', bytes: firstFrame('other')},
	{name: 'an altered payload', bytes: altered(firstFrame().length - 1, 9)},
	{name: 'another version', bytes: altered(4, protocolVersion + 1)},
	{name: 'a length over the limit of the first frame', bytes: Buffer.from([0, 0, (maximumUnauthenticatedFrame / 256) + 1, 0])},
	{name: 'a length too short for a code', bytes: Buffer.from([0, 0, 0, 3])},
	{name: 'a frame of the other role', bytes: firstFrame(), reader: new FrameReader(['new'], {role: 'listener', nonces})},
	{name: 'a frame of another connection', bytes: firstFrame(), reader: new FrameReader(['new'], {role: 'dialer', nonces: Buffer.alloc(32)})},
	{name: 'a frame sent twice', bytes: Buffer.concat([firstFrame(), firstFrame()])},
];

for (const {name, bytes, reader = new FrameReader(['new', 'old'], signing)} of refused) {
	test(`refuses ${name}`, t => {
		t.throws(() => reader.read(bytes), {instanceOf: FrameError});
	});
}

for (const key of ['new', 'old']) {
	test(`accepts the ${key} key in any division of the bytes`, t => {
		const writer = new FrameWriter(key, signing);
		const bytes = Buffer.concat([writer.write([0, 'entry-1', 5]), writer.write([1])]);
		const reader = new FrameReader(['new', 'old'], signing);

		const messages = [...bytes].flatMap(byte => reader.read(Uint8Array.of(byte)));

		t.deepEqual(messages, [[0, 'entry-1', 5], [1]]);
	});
}

const messages: PeerMessage[] = [
	{kind: 'hello', name: 'entry-1', incarnation: 5},
	{kind: 'heartbeat'},
	{
		kind: 'members', claims: [{
			name: 'entry-2', incarnation: 1_790_000_000_000, state: 'suspect', address: '127.0.0.1:1', failureDomain: 'tartu-a', region: 'tartu',
		}],
	},
	{
		kind: 'loads', loads: [{
			upstream: 4_000_000_000, version: 9, running: 3, waiting: 0, pendingPromptTokens: 0, freePercent: 77, leaving: true,
		}],
	},
	{kind: 'generation', generation: 3},
	{kind: 'list-revision', revision: 8},
	{kind: 'configuration-request', generation: 3},
	{kind: 'configuration', generation: 3, document: Buffer.from('text')},
];

for (const message of messages) {
	test(`message ${message.kind} arrives as it was sent`, t => {
		const reader = new FrameReader(['new'], signing);

		const [decoded] = reader.read(new FrameWriter('new', signing).write(packMessage(message)));

		t.deepEqual(parseMessage(decoded), message);
	});
}

for (const decoded of [undefined, {}, [], [9], [0, '', 1], [3, Buffer.alloc(13)], [2, [['a']]], [4, -1]]) {
	test(`message ${JSON.stringify(decoded)} is refused`, t => {
		t.throws(() => parseMessage(decoded));
	});
}
