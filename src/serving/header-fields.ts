/**
 * Tells which parts of a received message can be sent on.
 *
 * The runtime's HTTP parser accepts more than its writer, which throws: field names that are empty or contain a blank,
 * request targets with a tab or a form feed, and statuses that HTTP does not define.
 *
 * @module
 */
import http from 'node:http';
import {isFinalStatus} from '../upstream/final-status.js';

/** Characters of a request target that is written as it is. */
const targetPattern = /^[\u0021-\u00FF]+$/v;

/** Longest part of an invalid name or target in a description, in characters. */
const maximumDescribedLength = 60;

/** Describes the first invalid field of raw headers, which are names and values in turn; undefined if all can be sent. */
export function describeInvalidField(rawHeaders: readonly string[]): string | undefined {
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!;
		if (!isFieldName(name)) {
			return `header name ${describe(name)} is not a token`;
		}

		if (!isFieldValue(rawHeaders[index + 1]!)) {
			return `value of header "${name}" contains a character that headers may not have`;
		}
	}

	return undefined;
}

/** Beginning of a response. */
const statusLinePattern = /HTTP\/\d\.\d \d{3}/v;

/** Describes what is invalid about the head of a final response; undefined if it can be sent. */
export function describeInvalidResponseHead(status: number, statusText: string, rawHeaders: readonly string[]): string | undefined {
	if (!isFinalStatus(status)) {
		return `status ${status} is not that of a final response`;
	}

	// A response that breaks off within a line of its head is continued by the next one on the connection, whose status then is unknown.
	if ([statusText, ...rawHeaders].some(text => statusLinePattern.test(text))) {
		return 'another response begins within the head';
	}

	return describeInvalidField(rawHeaders);
}

/** Describes what is invalid about the head of a request; undefined if it can be sent. */
export function describeInvalidRequestHead(target: string, rawHeaders: readonly string[]): string | undefined {
	return targetPattern.test(target) ? describeInvalidField(rawHeaders) : `request target ${describe(target)} contains a blank or a control character`;
}

/** Whether a text can be sent as the value of a header. */
export function isFieldValue(value: string): boolean {
	return passes(() => {
		http.validateHeaderValue('value', value);
	});
}

function isFieldName(name: string): boolean {
	return passes(() => {
		http.validateHeaderName(name);
	});
}

/** Whether a check of the runtime, which throws on invalid input, passes. */
function passes(check: () => void): boolean {
	try {
		check();
		return true;
	} catch {
		return false;
	}
}

function describe(text: string): string {
	return JSON.stringify(text.slice(0, maximumDescribedLength));
}
