/** Rules of the formatter and linter: XO's own, with the house style's exceptions. */
const wholeWords = {
	app: {application: true},
	conf: {configuration: true},
	config: {configuration: true},
	auth: {authentication: true, authorization: true},
	addr: {address: true},
	info: {information: true},
	max: false,
	min: false,
	nr: {number: true},
	cfg: {configuration: true},
	srv: {server: true},
	conn: {connection: true},
	buf: {buffer: true},
	ms: {milliseconds: true},
};

/** @type {import('xo').FlatXoConfig} */
const rules = [
	{ignores: ['dist/**', 'src/**/generated/**']},
	{
		rules: {
			// Behaviour that varies is an interface with classes.
			'@typescript-eslint/consistent-type-definitions': 'off',
			'unicorn/prevent-abbreviations': ['error', {
				replacements: wholeWords, checkFilenames: true, ignore: [/\.config$/v],
			}],
			'max-lines': ['error', {max: 400}],
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Messages and headers name their fields as their protocols spell them.
			'@typescript-eslint/naming-convention': 'off',
			'n/prefer-global/process': 'off',
		},
	},
	{
		files: ['platform/__tests__/crowds/*.test.ts'],
		rules: {
			// They have a configuration of their own.
			'ava/no-ignored-test-files': 'off',
		},
	},
	{
		files: ['src/cli.ts', 'src/front-cli.ts'],
		rules: {
			// The single binary is a CommonJS bundle, which has no await at its top level.
			'unicorn/prefer-top-level-await': 'off',
			'no-void': 'off',
		},
	},
];

export default rules;
