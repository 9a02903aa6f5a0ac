import {readdirSync, readFileSync} from 'node:fs';
import test from 'ava';
import {CarobquayError} from '../../errors/errors.js';
import {runScenarios} from '../scenario-file.js';

const folder = 'playground/scenarios';
const seed = 1;

for (const name of readdirSync(folder).toSorted()) {
	test.serial(`scenarios of ${name} hold`, async t => {
		const results = await runScenarios(readFileSync(`${folder}/${name}`, 'utf8'), {name, seed});

		t.true(results.length > 0);
		t.deepEqual(results.filter(({failure}) => failure !== undefined), []);
	});
}

test.serial('a sentence that does not hold is reported with what was seen', async t => {
	const text = 'Feature: F\n  Scenario: S\n    When A asks entry-1 to confirm booking "x"\n    And 1 s passes\n    Then booking "x" ran 2 times\n';

	t.deepEqual(await runScenarios(text, {name: 'f', seed}), [
		{name: 'S', failure: {sentence: 'booking "x" ran 2 times', message: 'booking "x" ran 1 times'}},
	]);
});

const faulty = [
	{name: 'an unknown sentence', text: 'Feature: F\n  Scenario: S\n    When pigs fly\n'},
	{name: 'a text that is not Gherkin', text: 'once upon a time'},
];

for (const {name, text} of faulty) {
	test.serial(`${name} is refused`, async t => {
		await t.throwsAsync(runScenarios(text, {name: 'f', seed}), {instanceOf: CarobquayError, code: '7002'});
	});
}
