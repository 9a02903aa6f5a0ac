/**
 * Log of events: one line of key=value pairs for each.
 *
 * @module
 */
import process from 'node:process';
import loglevel, {type LogLevelDesc} from 'loglevel';

/** How much an event matters. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

const levelsBySeverity: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];

/** Values of one event. Undefined ones are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Where and what a log writes. */
export type EventLogOptions = {
	/**
	 * Least level that is written.
	 * @default 'info'
	 */
	level?: LogLevel;
	/** Fields of every line, such as the instance's name. */
	commonFields?: LogFields;
	/**
	 * Receives each line without its line end.
	 * @default writes to standard error
	 */
	write?: (line: string, level: LogLevel) => void;
};

/** Writes events as key=value lines. */
export class EventLog {
	readonly #logger: loglevel.Logger;
	readonly #commonFields: LogFields;
	readonly #level: LogLevel;
	readonly #write: (line: string, level: LogLevel) => void;

	constructor({level = 'info', commonFields: common = {}, write = writeToStandardError}: EventLogOptions = {}) {
		this.#level = level;
		this.#write = write;
		this.#commonFields = common;
		this.#logger = loglevel.getLogger(Symbol('carobquay'));
		this.#logger.methodFactory = method => (line: string) => {
			write(line, levelsBySeverity.find(known => known === method) ?? 'info');
		};

		this.#logger.setLevel(level satisfies LogLevelDesc, false);
	}

	/** Whether events of a level are written; asked before costly fields are worked out. */
	isLevelEnabled(level: LogLevel): boolean {
		return levelsBySeverity.indexOf(level) >= levelsBySeverity.indexOf(this.#level);
	}

	debug(event: string, fields: LogFields = {}): void {
		this.#logger.debug(this.#format('debug', event, fields));
	}

	info(event: string, fields: LogFields = {}): void {
		this.#logger.info(this.#format('info', event, fields));
	}

	warn(event: string, fields: LogFields = {}): void {
		this.#logger.warn(this.#format('warn', event, fields));
	}

	error(event: string, fields: LogFields = {}): void {
		this.#logger.error(this.#format('error', event, fields));
	}

	/** A log that adds fields to every line. */
	with(fields: LogFields): EventLog {
		return new EventLog({level: this.#level, write: this.#write, commonFields: {...this.#commonFields, ...fields}});
	}

	#format(level: LogLevel, event: string, fields: LogFields): string {
		return formatFields({
			time: new Date().toISOString(), level, event, ...this.#commonFields, ...fields,
		});
	}
}

function writeToStandardError(line: string): void {
	process.stderr.write(`${line}\n`);
}

const unquotedValuePattern = /^[^\s"=]+$/v;

/** Fields as "key=value key=value", quoting values with spaces, quotes or equals signs. */
export function formatFields(fields: LogFields): string {
	return Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${formatValue(String(value))}`)
		.join(' ');
}

function formatValue(text: string): string {
	return unquotedValuePattern.test(text) ? text : JSON.stringify(text);
}

const fieldPattern = /([\w.\-]+)=("(?:[^"\\]|\\.)*"|\S+)/gv;

/** Fields of a line that `formatFields` wrote. */
export function parseFields(line: string): Record<string, string> {
	return Object.fromEntries([...line.matchAll(fieldPattern)].map(([, key, value]) => [key!, parseValue(value!)]));
}

function parseValue(text: string): string {
	const value: unknown = text.startsWith('"') ? JSON.parse(text) : text;
	return typeof value === 'string' ? value : text;
}
