/**
 * `carobquay start`: an entry instance and stand-ins of all outside systems in one process, for a first try.
 *
 * @module
 */
import {hashKey} from '../entry/authentication.js';
import {EntryInstance} from '../entry/instance.js';
import {openMemoryPlatform} from '../platform/platform.js';
import type {InstanceKind, ListedInstance} from '../platform/instance-list.js';
import {PromptReader} from '../request/prompt-reader.js';
import {loadSettings, resolveSettings} from '../settings/resolve.js';
import {startEngineStandIn} from '../stand-in/engine/engine-stand-in.js';
import {startServiceStandIn} from '../stand-in/service/service-stand-in.js';
import {EventLog} from '../telemetry/log.js';
import {HttpConnector} from '../upstream/http-connector.js';
import {print} from './output.js';
import {stopOnSignals} from './serve.js';

/** Key of the only customer of a first try. */
const trialKey = 'trial-key';

/** Engines started. */
const engineCount = 2;

const defaultSettings = '[instance]\nname = entry-1\n[platform]\nadapter = memory\n';

const trialConfiguration = `[pool trial]
labels = tier=standard
upstreams = pool=trial
models = stand-in

[pool booking-api]
kind = service
labels = tier=service
upstreams = pool=booking-api

[class question]
pools = tier=standard
priority = 20
deadline = 60 s

[class review]
pools = tier=standard
priority = 5
deadline = 15 m
divisible = true

[class confirmation]
pools = tier=service
priority = 20
deadline = 20 s
non_idempotent = true

[customer trial]
key_hashes = ${hashKey(trialKey)}
`;

/** Options of the command. */
export type StartOptions = {
	/** Path of a settings file, for other ports. */
	settings?: string;
};

/** Runs everything until it is told to stop. Prints a line that can be pasted to get an answer. */
export async function start({settings: file}: StartOptions): Promise<void> {
	const settings = file === undefined ? resolveSettings(defaultSettings, 'the built-in settings') : await loadSettings(file);
	const log = new EventLog({level: settings.log.level});
	const platform = openMemoryPlatform({instances: {lag: 0}});
	for (const instance of await startUpstreams()) {
		platform.instances.declare(instance);
	}

	const instance = new EntryInstance({
		settings, platform, log, connector: new HttpConnector(settings.upstreams.silence),
	});
	const {callers, operators} = await instance.start();
	await instance.configurations.apply(trialConfiguration);
	stopOnSignals(instance, log);
	print(`callers   http://${callers}`);
	print(`operators http://${operators}`);
	print(`curl -s http://${callers}/v1/chat/completions -H 'authorization: Bearer ${trialKey}' -H 'content-type: application/json' -d '{"model":"stand-in","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}'`);
}

async function startUpstreams(): Promise<ListedInstance[]> {
	const reader = new PromptReader();
	const engines = await Promise.all(Array.from({length: engineCount}, async (_, index) => {
		const {address} = await startEngineStandIn({summarizer: reader});
		return listed({
			name: `trial-${index + 1}`, kind: 'engine', address, pool: 'trial',
		});
	}));
	const {address} = await startServiceStandIn();
	return [...engines, listed({
		name: 'booking-api-1', kind: 'service', address, pool: 'booking-api',
	})];
}

function listed({name, kind, address, pool}: {name: string; kind: InstanceKind; address: string; pool: string}): ListedInstance {
	return {
		name, kind, address, failureDomain: 'local', region: 'local', state: 'live', labels: {pool},
	};
}
