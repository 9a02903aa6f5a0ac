/**
 * What the router is told of a caller's request.
 *
 * @module
 */
import {CarobquayError} from '../errors/errors.js';
import type {RequestLifecycle} from '../request/request-lifecycle.js';
import type {PromptSummary} from '../request/prompt.js';
import type {RequestFacts} from '../routing/decision.js';
import type {ServiceRequest} from '../upstream/service.js';

/** Facts of a prompt. */
export function promptFacts({metadata}: RequestLifecycle, summary: PromptSummary): Omit<RequestFacts, 'excluded'> {
	return {
		requestId: metadata.requestId,
		customer: metadata.customer,
		requestClass: metadata.requestClass,
		model: summary.model,
		service: undefined,
		promptBytes: summary.promptBytes,
		messageBytes: summary.messageBytes,
		prefixHashes: summary.prefixHashes,
		maximumAnswerTokens: summary.maximumAnswerTokens,
		deadline: metadata.deadlineAt,
	};
}

/** Facts of a call of a plain service. */
export function serviceFacts({metadata}: RequestLifecycle, pool: string): Omit<RequestFacts, 'excluded'> {
	return {
		requestId: metadata.requestId,
		customer: metadata.customer,
		requestClass: metadata.requestClass,
		model: undefined,
		service: pool,
		promptBytes: 0,
		messageBytes: [],
		prefixHashes: [],
		maximumAnswerTokens: 0,
		deadline: metadata.deadlineAt,
	};
}

const methods: ReadonlySet<string> = new Set(['GET', 'POST', 'PUT', 'DELETE']);

function isServiceMethod(method: string): method is ServiceRequest['method'] {
	return methods.has(method);
}

/** @throws {CarobquayError} 1008 for a method that services do not take. */
export function serviceMethod(method: string): ServiceRequest['method'] {
	if (!isServiceMethod(method)) {
		throw new CarobquayError('1008', {message: `method ${method} cannot be used for calls of services; use ${[...methods].join(', ')}`});
	}

	return method;
}

/** Path and query behind "/v1/services/POOL". */
export function servicePath(url: string, pool: string): string {
	const {pathname, search} = new URL(url);
	return `${pathname.slice(`/v1/services/${pool}`.length)}${search}`;
}
