/**
 * Options of `carobquay explain`, of which some describe a request to the product's own interface and others one on the platform.
 *
 * @module
 */
import type {Command} from 'commander';
import type {ExplainOptions} from './explain.js';

/** Shown in the help. */
export const explainExamples = [
	'explain --customer okul-12 --class slot-offer --model stand-in --prompt-bytes 8000',
	'explain --instance 10.0.1.5:9464 --host api.example --path /chat/ --customer okul-12 --prompt-tokens 45000 --answer-tokens 800',
] as const;

/** Declares the options. */
export function declareExplainCommand(command: Command, action: (options: ExplainOptions) => Promise<void>): Command {
	return command
		.description('show why a request would go where')
		.option('--customer <name>', 'customer who would ask; on the platform, none for an anonymous request')
		.option('--class <name>', 'request class')
		.option('--model <name>', 'model asked for')
		.option('--service <name>', 'service pool asked for; on the platform, one of the route\'s services')
		.option('--prompt-bytes <bytes>', 'UTF-8 bytes of the prompt (default: 4000)')
		.option('--answer-tokens <tokens>', 'greatest number of answer tokens (default: 256; on the platform, the engine\'s limit)')
		.option('--instance <host:port>', 'ask this instance on the platform, at the address of its metrics')
		.option('--host <name>', 'Host header of the request; needed with --instance')
		.option('--path <path>', 'path of the request; needed with --instance')
		.option('--prompt-tokens <tokens>', 'with --instance: tokens of the prompt; none for a request without one')
		.option('--prefix <list>', 'with --instance: parts that the prompt shares with others, as ID:TOKENS,ID:TOKENS')
		.option('--body-bytes <bytes>', 'with --instance: bytes of the body')
		.option('--remaining <ms>', 'with --instance: time until the deadline; by default the timeout of the route')
		.option('--exclude <ids>', 'with --instance: engines that may not be used, as after failures there')
		.action(action);
}
