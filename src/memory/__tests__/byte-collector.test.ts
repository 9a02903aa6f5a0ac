import {Buffer} from 'node:buffer';
import test from 'ava';
import {ByteCollector} from '../byte-collector.js';

// Guards against bytes that are lost, repeated or out of order at the ends of blocks.
for (const {name, chunkSizes} of [
	{name: 'nothing', chunkSizes: []},
	{name: 'single bytes', chunkSizes: Array.from({length: 50_000}, () => 1)},
	{name: 'chunks over the ends of blocks', chunkSizes: Array.from({length: 50}, () => 1000)},
	{name: 'small chunks between large ones', chunkSizes: [5, 10_000, 5, 20_000, 5]},
	{name: 'large chunks', chunkSizes: [65_536, 300_000, 1, 600_000]},
	{name: 'empty chunks', chunkSizes: [0, 5, 0]},
]) {
	test(`returns what was collected: ${name}`, t => {
		const collector = new ByteCollector();
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
