const settings = {
	files: ['src/**/__tests__/*.test.ts', 'platform/__tests__/*.test.ts', 'bench/**/__tests__/*.test.ts', 'scripts/**/__tests__/*.test.ts', 'soak/__tests__/*.test.ts'],
	extensions: {ts: 'module'},
	nodeArguments: ['--import=tsx'],
	workerThreads: false,
	timeout: '2m',
};

export default settings;
