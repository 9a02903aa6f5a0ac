/**
 * The command line: a thin table of commands, each loaded when it is called.
 *
 * @module
 */
import process from 'node:process';
import {Command} from 'commander';
import type {ApplyOptions} from './commands/apply.js';
import type {AuditOptions} from './commands/audit.js';
import type {CheckOptions} from './commands/check.js';
import {declareExplainCommand, explainExamples} from './commands/explain-command.js';
import type {ExplainOptions} from './commands/explain.js';
import {declareFrontCommand} from './commands/front-command.js';
import type {FrontOptions} from './commands/front.js';
import type {GetOptions} from './commands/get.js';
import type {ServeOptions} from './commands/serve.js';
import type {StartOptions} from './commands/start.js';
import type {ScenarioOptions} from './commands/scenario.js';
import type {StatusOptions} from './commands/status.js';
import type {VersionOptions} from './commands/version.js';
import type {StandInOptions} from './commands/stand-in.js';
import {reportFailure} from './commands/report-failure.js';
import {version} from './version.js';

const defaultOperatorsAddress = '127.0.0.1:9090';

function withOperator(command: Command): Command {
	return command
		.option('--address <ip:port>', 'operators\' port of any instance', defaultOperatorsAddress)
		.option('--key <key>', 'operators\' key, where the port needs one')
		.option('--json', 'print JSON for scripts');
}

function examples(command: Command, ...lines: string[]): Command {
	return command.addHelpText('after', `\nExamples:\n${lines.map(line => `  $ carobquay ${line}`).join('\n')}`);
}

const program = new Command('carobquay');
program
	.description('Serving layer for prompts of a thousand to a million tokens on one shared fleet.')
	.version(version)
	.exitOverride();

examples(program.command('serve'), 'serve --settings /etc/carobquay/entry.ini')
	.description('run one entry instance')
	.requiredOption('--settings <file>', 'settings file')
	.action(async (options: ServeOptions) => {
		const {serve} = await import('./commands/serve.js');
		await serve(options);
	});

examples(program.command('start'), 'start', 'start --settings playground/embedded.ini')
	.description('run an entry instance with stand-ins of all outside systems inside this process, for a first try')
	.option('--settings <file>', 'settings file for other ports')
	.action(async (options: StartOptions) => {
		const {start} = await import('./commands/start.js');
		await start(options);
	});

examples(withOperator(program.command('apply')), 'apply --file pools.ini', 'apply --file pools.ini --address 10.0.1.5:9090 --key "$KEY"')
	.description('propose a configuration')
	.option('--file <file>', 'configuration document')
	.option('--rollback <generation>', 'propose the document of an older generation again')
	.action(async (options: ApplyOptions) => {
		const {apply} = await import('./commands/apply.js');
		await apply(options);
	});

examples(withOperator(program.command('get')), 'get > pools.ini', 'get --json')
	.description('print the configuration in force')
	.option('--history', 'print the newest changes, who made them and when')
	.option('--diff <generations...>', 'print what differs between two generations')
	.action(async (options: GetOptions) => {
		const {get} = await import('./commands/get.js');
		await get(options);
	});

examples(program.command('check'), 'check --settings entry.ini', 'check --platform-settings local.json', 'check --configuration pools.ini --json')
	.description('check settings and configuration without an instance')
	.option('--settings <file>', 'settings file')
	.option('--platform-settings <file>', 'settings file of an instance on the platform')
	.option('--configuration <file>', 'configuration document')
	.option('--json', 'print JSON for scripts')
	.action(async (options: CheckOptions) => {
		const {check} = await import('./commands/check.js');
		await check(options);
	});

examples(declareExplainCommand(withOperator(program.command('explain')), async (options: ExplainOptions) => {
	const {explain} = await import('./commands/explain.js');
	await explain(options);
}), ...explainExamples);

examples(
	program.command('audit'),
	'audit --from 2026-03-01T00:00:00Z --to 2026-03-02T00:00:00Z --objects 10.0.9.1:7002',
	'audit --from 2026-03-01 --to 2026-04-01 --customer okul-12 --objects 10.0.9.1:7002',
)
	.description('tell from the ledger which promises to callers were kept, without an instance')
	.requiredOption('--from <time>', 'first time of admission')
	.requiredOption('--to <time>', 'time of admission at which to stop')
	.requiredOption('--objects <ip:port>', 'address of the object store')
	.option('--customer <name>', 'only promises to this customer')
	.option('--json', 'print JSON for scripts')
	.action(async (options: AuditOptions) => {
		const {audit} = await import('./commands/audit.js');
		await audit(options);
	});

examples(declareFrontCommand(program, async (options: FrontOptions) => {
	const {front} = await import('./commands/front.js');
	await front(options);
}), 'front', 'front --log-level debug');

examples(program.command('trace <request>'), 'trace 9c41d07be2a35f68 < instances.log')
	.description('print the lines of one request from logs on standard input, and how it ended')
	.action(async (request: string) => {
		const {trace} = await import('./commands/trace.js');
		await trace(request);
	});

examples(program.command('stand-in <kind>'), 'stand-in engine --port 7101', 'stand-in table --port 7001')
	.description('run a small stand-in of an outside system: engine, service, table, objects, instances, weights')
	.option('--host <ip>', 'IP number to listen on', '127.0.0.1')
	.option('--port <port>', 'port to listen on; 0 takes a free one', '0')
	.option('--models <names>', 'models that an engine has loaded', 'stand-in')
	.option('--blocks <count>', 'blocks of an engine\'s KV memory')
	.option('--time-scale <factor>', 'factor on the duration of an engine\'s steps')
	.option('--whole-prefill', 'an engine finishes a prefill that it has begun')
	.option('--ignore-fencing', 'an engine carries out orders with an old fencing number')
	.option('--lag <ms>', 'lag of the instance list or of an engine\'s load reports')
	.action(async (kind: string, options: StandInOptions) => {
		const {standIn} = await import('./commands/stand-in.js');
		await standIn(kind, options);
	});

examples(program.command('scenario <file>'), 'scenario playground/scenarios/paused-holder.feature')
	.description('run a scenario file on a simulated fleet under a paused clock')
	.option('--seed <number>', 'seed of all random choices', '1')
	.option('--json', 'print JSON for scripts')
	.action(async (file: string, options: ScenarioOptions) => {
		const {scenario} = await import('./commands/scenario.js');
		await scenario(file, options);
	});

examples(withOperator(program.command('status')), 'status', 'status --json | jq .upstreams')
	.description('show the state of an instance')
	.action(async (options: StatusOptions) => {
		const {status} = await import('./commands/status.js');
		await status(options);
	});

examples(program.command('hash-key <key>'), 'hash-key "$KEY"')
	.description('print the hash of a key, for key_hashes and key_hash')
	.action(async (key: string) => {
		const {hashKeyCommand} = await import('./commands/hash-key.js');
		hashKeyCommand(key);
	});

program.command('version')
	.description('print the version')
	.option('--json', 'print JSON for scripts')
	.action(async (options: VersionOptions) => {
		const {versionCommand} = await import('./commands/version.js');
		versionCommand(options);
	});

async function main(): Promise<void> {
	try {
		await program.parseAsync(process.argv);
	} catch (error) {
		process.exitCode = reportFailure(error);
	}
}

// The single binary is a CommonJS bundle, which has no await at its top level.
void main();
