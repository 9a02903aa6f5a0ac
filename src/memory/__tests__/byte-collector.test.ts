import {Buffer} from 'node:buffer';
import test from 'ava';
import {ByteCollector} from '../byte-collector.js';

// Guards against bytes that are lost, repeated or out of order at the ends of blocks.
for (const {name, chunkSizes, expected} of [
	{name: 'nothing', chunkSizes: [], expected: undefined},
	{name: 'single bytes', chunkSizes: Array.from({length: 5000}, () => 1), expected: undefined},
	{name: 'single bytes of an announced number', chunkSizes: Array.from({length: 5000}, () => 1), expected: 5000},
	{name: 'more than announced', chunkSizes: [700, 700, 700], expected: 1000},
	{name: 'less than announced', chunkSizes: [700], expected: 1000},
	{name: 'large chunks', chunkSizes: [65_536, 300_000, 1, 600_000], expected: undefined},
	{name: 'empty chunks', chunkSizes: [0, 5, 0], expected: 0},
]) {
	test(`returns what was collected: ${name}`, t => {
		const collector = new ByteCollector(expected);
		const chunks = chunkSizes.map((size, index) => Buffer.alloc(size, index % 251));
		for (const chunk of chunks) {
			collector.append(chunk);
		}

		const all = Buffer.concat(chunks);
		t.is(collector.length, all.length);
		t.true(all.equals(collector.take()));
		t.is(collector.length, 0);
		collector.append(Buffer.from('more'));
		t.is(Buffer.from(collector.take()).toString(), 'more');
	});
}
