/** Documents of a small deployment with the figures of the sheet of kohtulugu-prod: settings, configuration and rows of engines. */

/** A document with the names that the platform gives its fields, which are written in camel case here. */
function withWireNames(value) {
	if (Array.isArray(value)) {
		return value.map(item => withWireNames(item));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	return Object.fromEntries(Object.entries(value).map(([name, item]) => [name.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`), withWireNames(item)]));
}

export const ports = {
	callers: 8227, readiness: 8220, control: 8229, internal: 7340, store: 8223, engine: 8080,
};

export const callerHost = 'ficu95.example';

/** Times in milliseconds of the sheet. */
export const bounds = {stableWindow: 3000, propagation: 2000, grace: 8000};

/** Settings of one machine. @param seeds - Addresses of machines. @param moreBounds - Bounds beside those of the sheet. */
export function settingsDocument({name, ip, zone, store, seeds, moreBounds = {}}) {
	return withWireNames({
		nodeName: name, role: 'entry', machineClass: 'front', serves: ['front', 'control'], ipAddress: ip, zone, region: 'tartu',
		zones: {'tartu-a': 'tartu', 'tartu-b': 'tartu', 'tartu-c': 'tartu'},
		listen: {front: `${ip}:${ports.callers}`, readinessAddr: `${ip}:${ports.readiness}`, control: `${ip}:${ports.control}`},
		internalPorts: [ports.internal, ports.internal + 15], seeds: seeds.map(seed => `${seed}:${ports.control}`), bootstrap: true, countsInTolerance: false,
		limits: {
			cpuShare: 0.675, cores: 1, memoryMb: 350, fileDescriptors: 4100, linkMbps: 1000, diskMb: 0,
		},
		dataDirectory: null, discovery: 'platform', entry: 'virtual_ip', heartbeatMs: 1200,
		contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform', 'spans'],
		tolerance: {machines: 2, zones: 0, regions: 0},
		bounds: {
			seedLagS: 3, reuseAfterS: 2, stableWindowMs: bounds.stableWindow, acknowledgeMs: 4000, catchUpS: 4, drainMs: 2000, graceS: bounds.grace / 1000,
			lossSlackMs: 200, configPropagationMs: bounds.propagation, rollbackSlackMs: 250, outerMs: 5000, revokeEverywhere: false, revocationMs: 5000, budgetRatio: 0.2,
			budgetWindowS: 10, budgetSlack: 104, recoveryS: 12, passMs: 120, retryAfterS: 0, stallMs: 1500, holdMaxMs: 20_000, freeMs: 4000, idleMaxMs: 9000,
			...moreBounds,
		},
		platform: {
			address: store, form: 'table', writesPerS: 400, readsPerS: 2000, transactionMs: 5, appendsPerS: 200, rowBytes: 65_536, across: false, historyS: 20,
			blobBytes: 8_388_608, blobMs: 25, blobPerS: 80,
		},
	});
}

const route = {
	host: callerHost, priority: 1, anonymous: false, attempts: 2,
};

/** A version of the configuration. @param tenants - API keys by the name of their tenant. @param moreRoutes - Routes beside the usual ones. @param application - More fields of the service without a language model. */
export function configurationDocument(version, tenants, moreRoutes = [], application = {}) {
	return withWireNames({
		version,
		routes: [
			{
				...route, name: 'bundle-review', prefix: '/bundle/', kind: 'streaming', service: 'kohus-llm', timeoutMs: 15_000, targetLatencyMs: 3000,
				gapTargetMs: 1000, sticky: true, canResume: true,
			},
			{
				...route, name: 'ruling-question', prefix: '/ruling/', kind: 'streaming', service: 'kohus-llm', timeoutMs: 10_000, targetLatencyMs: 300,
				gapTargetMs: 250, sticky: true, canResume: true,
			},
			{
				...route, name: 'statute-link', prefix: '/statute/', kind: 'unsafe', service: 'viide-app', timeoutMs: 1500, targetLatencyMs: 121,
			},
			{
				...route, name: 'citation-lookup', prefix: '/citation/', kind: 'safe', service: 'viide-app', timeoutMs: 1500, targetLatencyMs: 121,
			},
			...moreRoutes.map(more => ({...route, ...more})),
		],
		services: [
			{
				name: 'kohus-llm', healthPath: '/health', connectionLimit: 284, protocol: 'h1', tls: false, engine: {
					slots: 11, kvCacheTokens: 315_000, stride: 51, models: [{name: 'm'}], stepMs: 0.85, perSeqMs: 0.0062, contextPerK: 0.002_85, readPerS: 177_000,
					pairsPerM: 0.184, chunk: 2048, reportLagMs: 200, usual: {prompt: 11_112, answer: 1622}, hopMs: 0.05,
				},
			},
			{
				name: 'viide-app', healthPath: '/health', connectionLimit: 51, protocol: 'h1', tls: false, ...application,
			},
		],
		limits: {
			headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: Object.entries(tenants).map(([name, keys]) => ({name, apiKeys: keys, priority: 1})),
	});
}

/** Row of an engine. */
export function engineRow({service, ip, zone, slots}) {
	return withWireNames({
		service, address: `${ip}:${ports.engine}`, zone, version: 'v1', slots, state: 'ready', coldRemainingMs: 0, stage: 'both', models: [], sequence: 1, born: Date.now(),
	});
}

/** What an engine's row says while it is cold. @param duration - In milliseconds. */
export function coldRow(duration) {
	return withWireNames({coldRemainingMs: duration});
}
