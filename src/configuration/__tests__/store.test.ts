import test from 'ava';
import {z} from 'zod';
import {CarobquayError, toCarobquayError} from '../../errors/errors.js';
import {MemoryTable} from '../../platform/memory/memory-table.js';
import type {TableService} from '../../platform/table.js';
import {EventLog} from '../../telemetry/log.js';
import {ConfigurationStore} from '../store.js';

const documentShape = z.object({text: z.string()});
const pool = '[pool kohus-llm]\nlabels = tier=standard\nupstreams = pool=kohus-llm\nmodels = stand-in\n';
const customer = (name: string, weight = 1) => `[customer ${name}]\nkey_hashes = ${'0'.repeat(64)}\nweight = ${weight}\n`;
const withA = ['pool kohus-llm', 'customer a'];
const from = (generation: number, ...parts: string[]) => [`; generation ${generation}`, ...parts].join('\n');

function createStore(table: TableService): ConfigurationStore {
	return new ConfigurationStore({
		table, log: new EventLog({level: 'error'}), pollInterval: 5, onChange: () => undefined,
	});
}

/** Two operators read the same document of a pool and customer "a"; the first change is accepted, then comes the second. */
const races: Array<{name: string; first: string[]; second: string[]; refused: boolean; sections: string[]}> = [
	{
		name: 'changes of different sections both win', first: [pool, customer('a', 2)], second: [pool, customer('a'), customer('b')], refused: false, sections: [...withA, 'customer b'],
	},
	{
		name: 'of two changes of one section the first wins', first: [pool, customer('a', 2)], second: [pool, customer('a', 3)], refused: true, sections: withA,
	},
	{
		name: 'the same change twice is no conflict', first: [pool, customer('a', 2)], second: [pool, customer('a', 2)], refused: false, sections: withA,
	},
	{
		name: 'a removal and a change of one section conflict', first: [pool], second: [pool, customer('a', 3)], refused: true, sections: ['pool kohus-llm'],
	},
	{
		name: 'a removal and a change elsewhere both win', first: [pool], second: [pool, customer('a'), customer('b')], refused: false, sections: ['pool kohus-llm', 'customer b'],
	},
	{
		name: 'two different additions of one name conflict', first: [pool, customer('a'), customer('b', 2)],
		second: [pool, customer('a'), customer('b', 3)],
		refused: true,
		sections: [...withA, 'customer b'],
	},
];

for (const {name, first, second, refused, sections} of races) {
	test(name, async t => {
		const table = new MemoryTable();
		const stores = [createStore(table), createStore(table)];
		await stores[0]!.apply([pool, customer('a')].join('\n'));
		await stores[0]!.apply(from(1, ...first), {operator: 'maris'});

		const late = stores[1]!.apply(from(1, ...second));

		const refusal = await late.then(() => undefined, (error: unknown) => toCarobquayError(error, 'no'));

		t.is(refusal?.code, refused ? '6002' : undefined);
		t.is(refusal?.message.includes('by maris, accepted as generation 2'), refused || undefined);
		const [document] = table.inspect('configuration/document');
		t.deepEqual([...documentShape.parse(document?.value).text.matchAll(/\[(.+)\]/gv)].map(match => match[1]!), sections);
	});
}

test('simultaneous changes of different sections are all accepted, each as its own generation', async t => {
	const table = new MemoryTable();
	const stores = Array.from({length: 8}, () => createStore(table));
	await stores[0]!.apply(pool);

	const accepted = await Promise.all(stores.map(async (store, index) => store.apply(from(1, pool, customer(`c${index}`)))));

	t.deepEqual(accepted.map(({generation}) => generation).toSorted((a, b) => a - b), [2, 3, 4, 5, 6, 7, 8, 9]);
});

/** A table that loses the answer of one transaction, before or after it took effect. */
class LossyTable extends MemoryTable {
	losses: Array<'before' | 'after'> = [];

	override async transact(...parameters: Parameters<MemoryTable['transact']>) {
		const loss = this.losses.shift();
		const result = loss === 'before' ? undefined : await super.transact(...parameters);
		if (loss !== undefined) {
			throw new CarobquayError('5002', {message: 'answer lost'});
		}

		return result!;
	}
}

for (const losses of [['after'], ['before'], ['after', 'after'], ['before', 'after']] as const) {
	test(`a change whose answers were lost ${losses.join(' and ')} taking effect is accepted once`, async t => {
		const table = new LossyTable();
		table.losses = [...losses];
		const store = createStore(table);

		const accepted = await store.apply(pool);

		t.is(accepted.generation, 1);
		t.is(table.inspect('configuration/history/').length, 1);
	});
}

test('a change sent again under its id, to another instance and after others, gives its first generation', async t => {
	const table = new MemoryTable();
	const changeId = '01ARZ3NDEKTSV4RRFFQ69G5FAV';
	await createStore(table).apply(pool, {changeId});
	await createStore(table).apply([pool, customer('a')].join('\n'));

	const again = await createStore(table).apply(pool, {changeId});

	t.is(again.generation, 1);
	t.is(table.inspect('configuration/history/').length, 2);
});

test('history, difference and rollback', async t => {
	const store = createStore(new MemoryTable());
	await store.apply(pool, {operator: 'maris'});
	await store.apply([pool, customer('a')].join('\n'), {operator: 'ayse'});

	const rolledBack = await store.rollback(1, {operator: 'maris'});

	t.is(rolledBack.generation, 3);
	t.deepEqual([...rolledBack.customers.keys()], []);
	const history = await store.history(10);
	t.deepEqual(history.map(({generation, operator}) => `${generation} ${operator}`), ['3 maris', '2 ayse', '1 maris']);
	t.deepEqual(await store.difference(2, 3), [{section: 'customer a', before: customer('a').trim(), after: undefined}]);
	t.deepEqual(await store.difference(1, 3), []);
	await t.throwsAsync(store.rollback(9), {message: /generation 9 does not exist/v});
});

test('an offer never takes a lower generation into force', t => {
	const store = createStore(new MemoryTable());
	store.offer(4, pool);
	store.offer(3, '');
	t.is(store.current?.configuration.generation, 4);
	t.is(store.current?.text, pool);
});
