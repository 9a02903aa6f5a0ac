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
	/** How the request ended, in one sentence; undefined where no line tells. */
	ending: string | undefined;
};

/** Gathers the lines of a request. */
export function traceRequest(requestId: string, lines: Iterable<string>): Trace {
	const found = [...lines]
		.map(line => ({line: line.slice(Math.max(0, line.indexOf('time='))), fields: parseFields(line)}))
		.filter(({fields}) => fields.request === requestId)
		.toSorted((one, other) => (one.fields.time ?? '').localeCompare(other.fields.time ?? ''));
	return {lines: found.map(({line}) => line), ending: endingOf(found.map(({fields}) => fields))};
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
		if (line.includes(requestId)) {
			lines.push(line);
		}
	}

	const {lines: found, ending} = traceRequest(requestId, lines);
	if (found.length === 0) {
		throw new CarobquayError('7002', {message: `no line of request "${requestId}" on standard input`});
	}

	for (const line of found) {
		print(line);
	}

	print(ending ?? 'no line tells how the request ended: its instance was killed, or the line was left out');
}
