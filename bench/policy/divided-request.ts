/**
 * Parts and combination of a divided prompt as requests of their own.
 *
 * @module
 */
import type {DivisionPlan, MessageRange} from '../../src/routing/decision.js';
import {prefixChunkBytes} from '../../src/request/prompt.js';
import type {TraceRequest} from './trace.js';

/** What a divided prompt becomes. */
export type DividedRequest = {parts: TraceRequest[]; combine: TraceRequest};

/** Makes the requests of a plan. */
export function divide(request: TraceRequest, {sharedPrefix: shared, parts, finalMessage: question, partAnswerTokens}: DivisionPlan): DividedRequest {
	const bytesOf = ({first, end}: MessageRange) => request.messageBytes.slice(first, end).reduce((sum, bytes) => sum + bytes, 0);
	const repeated = bytesOf(shared) + bytesOf(question);
	const bytesPerToken = request.promptBytes / request.promptTokens;
	const make = (id: string, bytes: number, answerTokens: number): TraceRequest => ({
		...request,
		id: `${request.id}.${id}`,
		promptBytes: bytes,
		promptTokens: Math.round(bytes / bytesPerToken),
		answerTokens,
		messageBytes: [bytes],
		prefixHashes: Array.from({length: Math.floor(bytes / prefixChunkBytes)}, (_, chunk) => `${request.id}.${id}/${chunk}`),
	});
	return {
		parts: parts.map((part, index) => make(String(index), repeated + bytesOf(part), Math.min(partAnswerTokens, request.answerTokens))),
		combine: make('combine', repeated + Math.round(parts.length * partAnswerTokens * bytesPerToken), request.answerTokens),
	};
}
