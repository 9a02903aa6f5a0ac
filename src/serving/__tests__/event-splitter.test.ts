import test from 'ava';
import {EventSplitter, maximumEventBytes} from '../event-splitter.js';

const bytes = (text: string) => new TextEncoder().encode(text);
const text = (event: {bytes: Uint8Array}) => new TextDecoder().decode(event.bytes);

const cases: Array<{name: string; pieces: string[]; events: string[]; ids: Array<number | undefined>; pending: string}> = [
	{
		name: 'one event in one piece', pieces: ['id: 1\ndata: a\n\n'], events: ['id: 1\ndata: a\n\n'], ids: [1], pending: '',
	},
	{
		name: 'an event in pieces', pieces: ['id: 1\nda', 'ta: a\n', '\nid: 2'], events: ['id: 1\ndata: a\n\n'], ids: [1], pending: 'id: 2',
	},
	{
		name: 'lines that end with a carriage return', pieces: ['id:7\r\ndata: a\r\n\r\nrest'], events: ['id:7\r\ndata: a\r\n\r\n'], ids: [7], pending: 'rest',
	},
	{
		name: 'an event without an id', pieces: ['data: id: 5\n\n'], events: ['data: id: 5\n\n'], ids: [undefined], pending: '',
	},
	{
		name: 'several events in one piece', pieces: ['id: 1\n\nid: 2\n\n'], events: ['id: 1\n\n', 'id: 2\n\n'], ids: [1, 2], pending: '',
	},
];

for (const {name, pieces, events, ids, pending} of cases) {
	test(`splits ${name}`, t => {
		const splitter = new EventSplitter();
		const found = pieces.flatMap(piece => splitter.push(bytes(piece)));

		t.deepEqual(found.map(event => text(event)), events);
		t.deepEqual(found.map(({id}) => id), ids);
		t.is(text({bytes: splitter.pending}), pending);
	});
}

test('an event without end is not gathered for ever', t => {
	t.throws(() => new EventSplitter().push(new Uint8Array(maximumEventBytes + 1)), {instanceOf: RangeError});
});
