/**
 * Pages of the docs that are written from the code: error codes, settings and metrics.
 *
 * @module
 */
import {Registry, type MetricObject} from 'prom-client';
import {errorCatalogue} from '../src/errors/catalogue.js';
import {settingsSchema, type SettingDefinition} from '../src/settings/schema.js';
import {RequestMetrics} from '../src/telemetry/request-metrics.js';

/** A page and the file that holds it. */
export type ReferencePage = {file: string; text: string};

/** All pages, as they should stand for the present code. */
export async function referencePages(): Promise<ReferencePage[]> {
	return [
		{file: 'docs/errors.md', text: errorsPage()},
		{file: 'docs/settings.md', text: settingsPage()},
		{file: 'docs/metrics.md', text: await metricsPage()},
	];
}

const generatedNote = 'Written by `npm run generate` from the code; a test checks that it is current.';

function table(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [header, header.map(() => '---'), ...rows].map(cells => `| ${cells.map(cell => cell.replaceAll('|', String.raw`\|`)).join(' | ')} |`);
	return lines.join('\n');
}

function errorsPage(): string {
	const rows = Object.entries(errorCatalogue).map(([code, entry]) => [
		code, entry.name, String(entry.status), entry.ran, entry.retryAfter === undefined ? 'no' : `after ${entry.retryAfter} ms or as sent`, entry.remedy,
	]);
	return `# Error codes

${generatedNote}

Every error body is \`{"error":{"code","type","message","mend","ran","request","retry_after_ms"}}\`. \`ran\` is also in the
header \`carobquay-ran\`. It says whether the request ran: \`no\` is said only where that is certain, \`unknown\` where bytes
could have reached an upstream and nothing came back that settles it. One occurrence can be more exact than the column
below. Where asking again makes sense, \`Retry-After\` gives the time in seconds.

${table(['Code', 'Name', 'HTTP status', 'Ran', 'Ask again', 'Mend'], rows)}
`;
}

function settingsPage(): string {
	const definitions: Readonly<Record<string, Readonly<Record<string, SettingDefinition<unknown>>>>> = settingsSchema;
	const sections = Object.entries(definitions).map(([section, keys]) => {
		const rows = Object.entries(keys).map(([key, {defaultText, description, example}]) => [
			`\`${key}\``, defaultText === undefined ? 'required' : (defaultText === '' ? 'empty' : `\`${defaultText}\``), `\`${example}\``, description,
		]);
		return `## [${section}]\n\n${table(['Key', 'Default', 'Example', 'Meaning'], rows)}\n`;
	});
	return `# Settings

${generatedNote}

A settings file is INI text, read once at the start of \`carobquay serve\`. Times take \`ms\`, \`s\`, \`m\`, \`h\` or \`d\`;
sizes take \`B\`, \`KiB\`, \`MiB\` or \`GiB\`. An unknown section or key is an error, with a suggestion where a known one is
close. \`carobquay check --settings FILE\` checks a file without an instance.

${sections.join('\n')}`;
}

async function metricsPage(): Promise<string> {
	const registry = new Registry();
	// eslint-disable-next-line no-new
	new RequestMetrics(registry, () => 0);
	const metrics = await registry.getMetricsAsJSON();
	const rows = metrics.map(({name, type, help}: MetricObject) => [`\`${name}\``, String(type), help]);
	return `# Metrics

${generatedNote}

\`GET /metrics\` on the operators' port gives these, and those of the process and its runtime
(\`carobquay_process_*\`, \`carobquay_nodejs_*\`), in the text form of Prometheus.

${table(['Name', 'Type', 'Meaning'], rows)}
`;
}
