/** Tests of processes beside crowds of callers, which run one at a time and apart from all others. */
const settings = {
	files: ['platform/__tests__/crowds/*.test.ts'],
	extensions: {ts: 'module'},
	nodeArguments: ['--import=tsx'],
	workerThreads: false,
	concurrency: 1,
	serial: true,
	timeout: '3m',
};

export default settings;
