/**
 * Event log in logfmt: one line of key=value pairs per event.
 *
 * @module
 */
import process from 'node:process';
import loglevel, {type LogLevelDesc} from 'loglevel';

/** Severity of an event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

const levelsBySeverity: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];

/** Fields of one event. Undefined values are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Options of an event log. */
export type EventLogOptions = {
	/**
	 * Lowest level that is written.
	 * @default 'info'
	 */
	level?: LogLevel;
	/** Fields added to every line, such as the instance's name. */
	commonFields?: LogFields;
	/**
	 * Receives each line, without a line terminator.
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

	constructor({level = 'info', commonFields = {}, write = writeToStandardError}: EventLogOptions = {}) {
		this.#level = level;
		this.#write = write;
		this.#commonFields = commonFields;
		this.#logger = loglevel.getLogger(Symbol('carobquay'));
		this.#logger.methodFactory = method => (line: string) => {
			write(line, levelsBySeverity.find(candidate => candidate === method) ?? 'info');
		};

		this.#logger.setLevel(level satisfies LogLevelDesc, false);
	}

	/** Whether events of a level are written. Lets callers skip computing expensive fields. */
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

	/** Returns a log that adds these fields to every line. */
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

/** Whole milliseconds as a field; infinite times are left out. */
export function finiteMilliseconds(milliseconds: number): number | undefined {
	return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}

const unquotedValuePattern = /^[^\s"=]+$/v;

/** Formats fields as "key=value key=value". Values that are empty or contain white space, quotes or equals signs are quoted as JSON strings. */
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

/** Parses a line written by `formatFields`. */
export function parseFields(line: string): Record<string, string> {
	return Object.fromEntries([...line.matchAll(fieldPattern)].map(([, key, value]) => [key!, parseValue(value!)]));
}

function parseValue(text: string): string {
	const value: unknown = text.startsWith('"') ? JSON.parse(text) : text;
	return typeof value === 'string' ? value : text;
}
