/**
 * Reads scenario files in Gherkin and runs them on a simulated fleet.
 *
 * @module
 */
import {
	CucumberExpression, ParameterType, ParameterTypeRegistry, type Expression,
} from '@cucumber/cucumber-expressions';
import {
	AstBuilder, compile, GherkinClassicTokenMatcher, Parser,
} from '@cucumber/gherkin';
import {IdGenerator, type Pickle} from '@cucumber/messages';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import {SimulatedFleet} from './simulated-fleet.js';
import {ScenarioWorld, stepDefinitions, type StepDefinition} from './steps.js';

/** Milliseconds in each unit of time that a scenario may use. */
const units: Readonly<Record<string, number>> = {ms: 1, s: 1000, minutes: 60_000};

/** How one scenario ended. */
export type ScenarioResult = {
	name: string;
	/** Undefined where every sentence held. */
	failure: {sentence: string; message: string} | undefined;
};

type Sentence = {expression: Expression; definition: StepDefinition};

/**
 * Runs all scenarios of a file.
 *
 * @param name - Name of the file, for messages.
 * @throws {CarobquayError} 7002 where the file is not Gherkin or has a sentence that the language does not know.
 */
export async function runScenarios(text: string, {name, seed}: {name: string; seed: number}): Promise<ScenarioResult[]> {
	const results: ScenarioResult[] = [];
	for (const pickle of parse(text, name)) {
		results.push(await runPickle(pickle, seed)); // eslint-disable-line no-await-in-loop
	}

	return results;
}

function parse(text: string, name: string): readonly Pickle[] {
	const newId = IdGenerator.incrementing();
	try {
		const document = new Parser(new AstBuilder(newId), new GherkinClassicTokenMatcher()).parse(text);
		return compile(document, name, newId);
	} catch (error) {
		throw new CarobquayError('7002', {message: `scenario file "${name}": ${errorMessage(error)}`, cause: error});
	}
}

async function runPickle({name, steps}: Pickle, seed: number): Promise<ScenarioResult> {
	const sentences = readSentences();
	// A sentence that nobody knows is found before anything runs.
	const actions = steps.map(({text}) => ({text, action: findAction(text, sentences)}));
	const fleet = await SimulatedFleet.start(seed);
	const world = new ScenarioWorld(fleet);
	try {
		for (const {text, action} of actions) {
			try {
				await action(world); // eslint-disable-line no-await-in-loop
			} catch (error) {
				return {name, failure: {sentence: text, message: errorMessage(error)}};
			}
		}
	} finally {
		await fleet.stop();
	}

	return {name, failure: undefined};
}

function readSentences(): Sentence[] {
	const registry = new ParameterTypeRegistry();
	registry.defineParameterType(new ParameterType<number>('duration', /(\d+) (ms|s|minutes)/v, null, (count: string, unit: string) => Number(count) * units[unit]!));
	registry.defineParameterType(new ParameterType<string>('claimWrite', /claim|sent mark|ending/v, null, (write: string) => write));
	return stepDefinitions.map(definition => ({definition, expression: new CucumberExpression(definition.expression, registry)}));
}

function findAction(text: string, sentences: readonly Sentence[]): (world: ScenarioWorld) => Promise<void> {
	for (const {expression, definition} of sentences) {
		const found = expression.match(text);
		if (found) {
			return async world => definition.run(world, found.map(argument => argument.getValue<unknown>(world)));
		}
	}

	throw new CarobquayError('7002', {message: `no sentence of the scenario language reads "${text}"; docs/scenarios.md lists them`});
}
