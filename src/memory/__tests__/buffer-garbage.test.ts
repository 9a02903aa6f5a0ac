import test from 'ava';
import {BufferGarbage} from '../buffer-garbage.js';

const cases: Array<{name: string; limit: number; records: number[]; collections: number}> = [
	{
		name: 'below the limit', limit: 100, records: [50, 49], collections: 0,
	},
	{
		name: 'at the limit', limit: 100, records: [50, 50], collections: 1,
	},
	{
		name: 'anew after a collection', limit: 100, records: [150, 50, 49], collections: 1,
	},
	{
		name: 'again at the limit', limit: 100, records: [150, 50, 50], collections: 2,
	},
	{
		name: 'without a limit', limit: Number.POSITIVE_INFINITY, records: [1e12], collections: 0,
	},
];

// Guards against buffers that the runtime keeps as garbage until the process takes more memory than the platform allows.
for (const {name, limit, records, collections} of cases) {
	test(`garbage of buffers is collected: ${name}`, t => {
		let count = 0;
		const garbage = new BufferGarbage(() => {
			count += 1;
		});
		garbage.limit = limit;
		for (const bytes of records) {
			garbage.record(bytes);
		}

		t.is(count, collections);
	});
}
