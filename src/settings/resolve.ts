/**
 * Reads a settings file once into resolved settings.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import {parse} from 'ini';
import {z} from 'zod';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import {closestName} from './closest-name.js';
import {settingsSchema, type ResolvedSettings, type SettingDefinition} from './schema.js';

const iniSection = z.record(z.string(), z.unknown());

type Section = Readonly<Record<string, SettingDefinition<unknown>>>;
type Sections = Readonly<Record<string, Section>>;

const sections: Sections = settingsSchema;

/**
 * Reads and checks a settings file.
 *
 * @throws {CarobquayError} 7001 naming file, section, key, value and the mend of each fault.
 */
export async function loadSettings(file: string): Promise<ResolvedSettings> {
	let text;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		throw new CarobquayError('7001', {message: `${file}: cannot be read: ${errorMessage(error)}`});
	}

	return resolveSettings(text, file);
}

/**
 * Checks the text of a settings file and fills in defaults.
 *
 * @param file - Name used in messages.
 * @throws {CarobquayError} 7001 listing every fault, one a line.
 */
export function resolveSettings(text: string, file: string): ResolvedSettings {
	const given = readSections(text, file);
	const faults = unknownNames(given, file);
	const resolved: Record<string, Record<string, unknown>> = {};
	for (const [sectionName, section] of Object.entries(sections)) {
		resolved[sectionName] = resolveSection({
			name: sectionName, section, given: given.get(sectionName), file,
		}, faults);
	}

	faults.push(...missingAddresses(resolved, file));
	if (faults.length > 0) {
		throw new CarobquayError('7001', {message: faults.join('\n')});
	}

	// The mapped type repeats the schema that every value has just passed.
	return resolved as unknown as ResolvedSettings; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

type GivenSections = ReadonlyMap<string, ReadonlyMap<string, string>>;

function readSections(text: string, file: string): GivenSections {
	const given = new Map<string, ReadonlyMap<string, string>>();
	for (const [name, section] of Object.entries(parse(text))) {
		const keys = iniSection.safeParse(section);
		if (!keys.success) {
			throw new CarobquayError('7001', {message: `${file}: key "${name}" stands before any [section]`});
		}

		given.set(name, new Map(Object.entries(keys.data).map(([key, value]) => [key, String(value)])));
	}

	return given;
}

function unknownNames(given: GivenSections, file: string): string[] {
	const faults: string[] = [];
	for (const [name, keys] of given) {
		const section = Object.hasOwn(sections, name) ? sections[name] : undefined;
		if (section === undefined) {
			faults.push(`${file}: section [${name}] is not known${closestName(name, Object.keys(sections))}`);
			continue;
		}

		for (const key of keys.keys()) {
			if (!Object.hasOwn(section, key)) {
				faults.push(`${file}: [${name}] ${key} is not known${closestName(key, Object.keys(section))}`);
			}
		}
	}

	return faults;
}

function resolveSection(
	{name, section, given, file}: {name: string; section: Section; given: ReadonlyMap<string, string> | undefined; file: string},
	faults: string[],
): Record<string, unknown> {
	const resolved: Record<string, unknown> = {};
	for (const [key, definition] of Object.entries(section)) {
		const text = given?.get(key) ?? definition.defaultText;
		if (text === undefined) {
			faults.push(`${file}: [${name}] ${key} is missing; write ${key} = ${definition.example}`);
			continue;
		}

		const result = definition.schema.safeParse(text);
		if (result.success) {
			resolved[camelCase(key)] = result.data;
		} else {
			faults.push(`${file}: [${name}] ${key} = ${text}: ${result.error.issues[0]!.message}; for example ${key} = ${definition.example}`);
		}
	}

	return resolved;
}

const addressKeys = ['table', 'objects', 'instances', 'weights'] as const;

function missingAddresses(resolved: Record<string, Record<string, unknown>>, file: string): string[] {
	const platform = resolved.platform!;
	if (platform.adapter !== 'http') {
		return [];
	}

	return addressKeys
		.filter(key => platform[key] === '')
		.map(key => `${file}: [platform] ${key} is missing; with adapter = http write ${key} = ${settingsSchema.platform[key].example}`);
}

function camelCase(key: string): string {
	return key.replaceAll(/_(.)/gv, (_, letter: string) => letter.toUpperCase());
}
