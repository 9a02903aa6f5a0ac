/**
 * `carobquay trace`: the lines of one request from the logs of many instances, in order, and how it ended.
 *
 * @module
 */
import process from 'node:process';
import {createInterface} from 'node:readline';
import {CarobquayError} from '../errors/errors.js';
import {parseFields} from '../telemetry/log.js';
import {print} from './output.js';

/** What the lines of one request show. */
export type Trace = {
	/** Lines in the order of their times. */
	lines: readonly string[];
	/** What engines had stated to the instance that refused it: limits, pauses and that they leave, the last of each engine. */
	statements: readonly string[];
	/** How the request ended, in one sentence; undefined where no line tells. */
	ending: string | undefined;
};

/** Events in which an engine has said something about itself. */
const statementEvents: ReadonlySet<string | undefined> = new Set(['engine.limit', 'engine.pause', 'engine.leaving']);

/** Reasons of a refusal that follow from what engines have stated. */
const statedReasons: ReadonlySet<string | undefined> = new Set(['rate-limited', 'paused', 'no-engine']);

/** Gathers the lines of a request. */
export function traceRequest(requestId: string, lines: Iterable<string>): Trace {
	const parsed = [...lines]
		.map(line => ({line: line.slice(Math.max(0, line.indexOf('time='))), fields: parseFields(line)}))
		.toSorted((one, other) => (one.fields.time ?? '').localeCompare(other.fields.time ?? ''));
	const found = parsed.filter(({fields}) => fields.request === requestId);
	const refusal = found.find(({fields}) => fields.event === 'placement.refused' && statedReasons.has(fields.reason))?.fields;
	return {
		lines: found.map(({line}) => line),
		statements: refusal === undefined ? [] : lastStatements(parsed, refusal),
		ending: endingOf(found.map(({fields}) => fields)),
	};
}

/** The last statement of each engine to the instance that refused a request, before the refusal. @param lines - In the order of their times. */
function lastStatements(lines: ReadonlyArray<{line: string; fields: Fields}>, {instance, time = ''}: Fields): string[] {
	const last = new Map<string, string>();
	for (const {line, fields} of lines) {
		if (statementEvents.has(fields.event) && fields.instance === instance && (fields.time ?? '') <= time) {
			last.set(`${fields.event} ${fields.engine}`, line);
		}
	}

	return [...last.values()];
}

type Fields = Readonly<Record<string, string | undefined>>;

function endingOf(events: readonly Fields[]): string | undefined {
	const rejected = events.find(({event}) => event === 'request.rejected');
	if (rejected) {
		return `rejected by ${rejected.instance} with ${rejected.status} (code ${rejected.code}) under configuration ${rejected.version ?? 'none'}: ${rejected.reason}; it has not run`;
	}

	const ended = events.findLast(({event}) => event === 'request.ended');
	if (!ended) {
		return undefined;
	}

	const failures = events.filter(({event}) => event === 'request.attempt-failed')
		.map(({engine, outcome, reason}) => `${engine} ${outcome}${reason === undefined ? '' : ` (${reason})`}`);
	const ran = ended.outcome === 'refused' ? 'it has not run' : (ended.ran === 'no' ? 'it has not run' : 'it may have run');
	return [
		`${ended.outcome} at ${ended.instance} with ${ended.status} after ${ended.duration_ms} ms`,
		ended.reason === undefined ? undefined : `because ${ended.reason} (code ${ended.code})`,
		ended.engine === undefined ? undefined : `last engine ${ended.engine}`,
		failures.length === 0 ? undefined : `before that: ${failures.join(', ')}`,
		ran,
	].filter(part => part !== undefined).join('; ');
}

/** Reads log lines from standard input and prints those of one request. @throws {CarobquayError} 7002 where there are none. */
export async function trace(requestId: string): Promise<void> {
	const lines: string[] = [];
	for await (const line of createInterface({input: process.stdin})) {
		if (line.includes(requestId) || line.includes('event=engine.')) {
			lines.push(line);
		}
	}

	const {lines: found, statements, ending} = traceRequest(requestId, lines);
	if (found.length === 0) {
		throw new CarobquayError('7002', {message: `no line of request "${requestId}" on standard input`});
	}

	for (const line of found) {
		print(line);
	}

	if (statements.length > 0) {
		print('what engines had stated to this instance before:');
		for (const line of statements) {
			print(line);
		}
	}

	print(ending ?? 'no line tells how the request ended: its instance was killed, or the line was left out');
}
