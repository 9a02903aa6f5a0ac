/**
 * A stand-in of a model engine on TCP.
 *
 * @module
 */
import {Faults} from '../faults.js';
import {type RunningServer, type ServerOptions, startServer} from '../server.js';
import {createEngineApplication, InlinePromptSummarizer, type PromptSummarizer} from './engine-application.js';
import {EngineHost, type EngineHostOptions} from './engine-host.js';

/** Settings of an engine stand-in. */
export type EngineStandInOptions = EngineHostOptions & ServerOptions & {
	/**
	 * Reader of prompts.
	 * @default one that works in the calling thread
	 */
	summarizer?: PromptSummarizer;
	/**
	 * Faults to show, for tests that set them without HTTP.
	 * @default no faults
	 */
	faults?: Faults;
};

/** Starts an engine stand-in; resolves once it listens. */
export async function startEngineStandIn(options: EngineStandInOptions = {}): Promise<RunningServer> {
	const {summarizer = new InlinePromptSummarizer(), faults = new Faults()} = options;
	const host = new EngineHost(options, async () => faults.thawed());
	const server = await startServer(createEngineApplication(host, faults, summarizer), {...options, faults});
	return {
		address: server.address,
		async close() {
			host.close();
			await server.close();
		},
	};
}
