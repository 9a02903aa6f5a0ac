import {fileURLToPath} from 'node:url';
import test from 'ava';
import {measureCapacity} from '../capacity.js';
import {runExperiment} from '../experiment.js';
import {type EngineKind, readWorkload, type Workload} from '../workload.js';

const whole = readWorkload(fileURLToPath(new URL('../workloads/veli-randevu.ini', import.meta.url)));
const workload: Workload = {...whole, workload: {...whole.workload, duration_s: 40, warmup_s: 5}};
const kinds: EngineKind[] = ['interleaving', 'non-preemptive'];

for (const kind of kinds) {
	test(`the same seed gives the same figures on ${kind} engines, and nothing is lost`, t => {
		const capacity = measureCapacity(workload, kind, 3);
		const run = () => runExperiment({
			workload, kind, policy: 'carobquay', load: 'normal', capacity, seed: 3,
		});
		const figures = run();
		t.is(JSON.stringify(run()), JSON.stringify(figures));
		t.is(measureCapacity(workload, kind, 3), capacity);
		t.is(figures.lost, 0);
		t.true(figures.bands['1k-4k'].count > 100);
	});
}
