/**
 * Warnings of a process that nears a memory limit.
 *
 * @module
 */
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {MemoryBudget} from '../../memory/memory-budget.js';
import {EventLog, parseFields} from '../../telemetry/log.js';
import {MemoryWarning} from '../memory-warning.js';

const quiet = {
	heap: 10, heapLimit: 100, resident: 100, residentLimit: 1000,
};

const cases = [
	{
		name: 'all is low', use: quiet, after: 30_000, warnings: 0,
	},
	{
		name: 'the heap is high', use: {...quiet, heap: 90}, after: 1000, warnings: 1,
	},
	{
		name: 'resident memory is high', use: {...quiet, resident: 900}, after: 1000, warnings: 1,
	},
	{
		name: 'resident memory is high and unlimited', use: {...quiet, resident: 900, residentLimit: undefined}, after: 30_000, warnings: 0,
	},
	{
		name: 'the heap stays high', use: {...quiet, heap: 90}, after: 30_000, warnings: 3,
	},
];

for (const {name, use, after, warnings} of cases) {
	// Guards against a process that runs out of memory without a line that says so.
	test.serial(`memory.high where ${name}: ${warnings} in ${after} ms`, t => {
		const clock = FakeTimers.install();
		t.teardown(() => {
			clock.uninstall();
		});
		const lines: string[] = [];
		const memory = new MemoryBudget({ceiling: 500});
		memory.reserve({source: 'request-bodies', owner: 'a', bytes: 7});
		memory.reserve({source: 'unread-answers', owner: 'b', bytes: 9});
		const warning = new MemoryWarning({
			log: new EventLog({
				write(line) {
					lines.push(line);
				},
			}), memory, memoryLimit: undefined, measure: () => use,
		});
		clock.tick(after);
		warning.close();
		t.is(lines.length, warnings);
		t.true(lines.every(line => parseFields(line).largest === 'unread-answers:9,request-bodies:7'));
	});
}
