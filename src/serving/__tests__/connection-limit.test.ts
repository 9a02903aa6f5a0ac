import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import test from 'ava';
import {ConnectionLimit, maximumCallerConnections, type ProcessLimits} from '../connection-limit.js';

const megabyte = 1_048_576;

const limitCases: Array<{name: string; limits: ProcessLimits; expected: number}> = [
	{name: 'no limits', limits: {socketLimit: undefined, memoryLimit: undefined}, expected: Number.POSITIVE_INFINITY},
	{name: 'the smallest machine', limits: {socketLimit: 1869, memoryLimit: 202 * megabyte}, expected: 646},
	{name: 'few sockets', limits: {socketLimit: 300, memoryLimit: 602 * megabyte}, expected: 180},
	{name: 'no sockets', limits: {socketLimit: 0, memoryLimit: undefined}, expected: 1},
];

for (const {name, limits, expected} of limitCases) {
	test(`number of connections of callers with ${name}`, t => {
		t.is(maximumCallerConnections(limits), expected);
	});
}

class FakeSocket extends EventEmitter { // eslint-disable-line unicorn/prefer-event-target -- The limit takes a socket of the runtime.
	readonly name: string;
	readonly remoteAddress: string;
	isDestroyed = false;

	constructor(name: string, remoteAddress: string) {
		super();
		this.name = name;
		this.remoteAddress = remoteAddress;
	}

	destroy(): void {
		this.isDestroyed = true;
		this.emit('close');
	}
}

// Guards against connections that take all descriptors, and against the end of one whose request is in progress.
const cases: Array<{name: string; opened: string[]; busy?: string[]; used?: string[]; closed: string[]}> = [
	{name: 'up to the limit, none', opened: ['a1', 'a2', 'b1'], closed: []},
	{name: 'the oldest of the address with most', opened: ['b1', 'a1', 'a2', 'a3'], closed: ['a1']},
	{
		name: 'not one whose request is in progress', opened: ['a1', 'a2', 'b1', 'b2'], busy: ['a1'], closed: ['a2'],
	},
	{
		name: 'the one that was not used for longest', opened: ['a1', 'a2', 'b1', 'c1'], used: ['a1'], closed: ['a2'],
	},
	{
		name: 'the new one, if all others are busy', opened: ['a1', 'a2', 'b1', 'c1'], busy: ['a1', 'a2', 'b1'], closed: ['c1'],
	},
	{name: 'one for each that is too many', opened: ['a1', 'a2', 'a3', 'a4', 'a5'], closed: ['a1', 'a2']},
];

for (const {name, opened, busy = [], used = [], closed} of cases) {
	test(`what closes when there are too many connections: ${name}`, t => {
		const sockets = opened.map(socket => new FakeSocket(socket, socket[0]!));
		// Only what the limit itself uses.
		const limit = new ConnectionLimit(3, socket => busy.includes((socket as unknown as FakeSocket).name)); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		for (const [index, socket] of sockets.entries()) {
			if (index === 3) {
				for (const other of sockets.filter(({name: otherName}) => used.includes(otherName))) {
					limit.recordUse(other as unknown as Socket); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
				}
			}

			limit.add(socket as unknown as Socket); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		}

		t.deepEqual(sockets.filter(({isDestroyed}) => isDestroyed).map(({name: closedName}) => closedName), closed);
		t.is(limit.closedCount, closed.length);
	});
}
