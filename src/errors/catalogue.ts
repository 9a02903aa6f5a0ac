/**
 * Catalogue of the numbered errors: HTTP status, whether the request was executed, and what to do about it.
 *
 * docs/errors.md is generated from this table and checked against it.
 *
 * @module
 */

/** Whether a request was executed, as far as this instance can know. */
export type ExecutionStatus = 'no' | 'yes' | 'unknown';

/** Properties shared by all errors with the same number. */
export type ErrorEntry = {
	/** HTTP status of the response to the caller or operator. */
	status: number;
	/** Short, stable, machine-readable name. */
	name: string;
	/** Whether the request was executed, unless the individual error states otherwise. */
	ran: ExecutionStatus;
	/** Delay in milliseconds before a retry makes sense; absent if a retry never does. */
	retryAfter?: number;
	/** What the reader of the error should do. Written to responses as `mend`. */
	remedy: string;
};

const entries = {
	// Invalid requests.
	1001: {
		status: 400, name: 'malformed-json', ran: 'no', remedy: 'Send a body that is valid JSON.',
	},
	1002: {
		status: 400, name: 'wrong-type', ran: 'no', remedy: 'Send the field with the type that docs/callers.md gives.',
	},
	1003: {
		status: 413, name: 'too-large', ran: 'no', remedy: 'Send a smaller body, or ask the operator to raise [limits] body_bytes.',
	},
	1004: {
		status: 404, name: 'unknown-model', ran: 'no', remedy: 'Ask GET /v1/models for the models that are served.',
	},
	1005: {
		status: 400, name: 'unknown-class', ran: 'no', remedy: 'Name a request class that the configuration declares.',
	},
	1006: {
		status: 400, name: 'deadline-past', ran: 'no', remedy: 'Send a deadline in the future.',
	},
	1007: {
		status: 400, name: 'bad-header', ran: 'no', remedy: 'Send the header in the form that docs/callers.md gives.',
	},
	1008: {
		status: 404, name: 'unknown-route', ran: 'no', remedy: 'Use a route of docs/callers.md.',
	},
	1009: {
		status: 404, name: 'unknown-service', ran: 'no', remedy: 'Name a service pool that the configuration declares.',
	},
	1010: {
		status: 404, name: 'unknown-request', ran: 'no', remedy: 'Ask for a deferred request by the id that its acceptance gave, before its time is over.',
	},
	1011: {
		status: 422, name: 'key-reused', ran: 'no', remedy: 'Use a new idempotency key for a request with another body.',
	},
	1012: {
		status: 408, name: 'body-late', ran: 'no', remedy: 'Send the whole body within the deadline.',
	},
	1013: {
		status: 400, name: 'malformed-head', ran: 'no', remedy: 'Send header names without blanks, and percent-encode blanks and control characters of the path.',
	},
	// Authentication and authorization.
	2001: {
		status: 401, name: 'bad-credentials', ran: 'no', remedy: 'Send a key of a declared customer as "Authorization: Bearer KEY".',
	},
	2002: {
		status: 403, name: 'wrong-port', ran: 'no', remedy: 'Use the callers\' port; operators and peers have ports of their own.',
	},
	2003: {
		status: 403, name: 'class-not-allowed', ran: 'no', remedy: 'Use a class that the customer may use.',
	},
	// Rejections by admission control; the request was not executed.
	3001: {
		status: 429, name: 'customer-limit', ran: 'no', retryAfter: 1000, remedy: 'Ask again after the time given, or ask the operator for a higher limit.',
	},
	3002: {
		status: 503, name: 'overloaded', ran: 'no', retryAfter: 1000, remedy: 'Ask again after the time given.',
	},
	3003: {
		status: 413, name: 'does-not-fit', ran: 'no', remedy: 'Send a shorter prompt.',
	},
	3004: {
		status: 503, name: 'deadline-unreachable', ran: 'no', retryAfter: 2000, remedy: 'Ask again after the time given or with a later deadline.',
	},
	3005: {
		status: 503, name: 'no-upstream', ran: 'no', retryAfter: 1000, remedy: 'Ask again after the time given; the operator should check the pool\'s selector.',
	},
	3006: {
		status: 503, name: 'shutting-down', ran: 'no', retryAfter: 50, remedy: 'Ask again; another instance will answer.',
	},
	3007: {
		status: 503, name: 'quarantined', ran: 'no', retryAfter: 30_000,
		remedy: 'Change the request: engines have crashed on others like it. Ask again after the time given if the engines have been repaired meanwhile.',
	},
	// Failures of an upstream or of the connection to it.
	4001: {
		status: 504, name: 'deadline-exceeded', ran: 'unknown', remedy: 'Send a later deadline; ask again only if the request may run twice.',
	},
	4002: {
		status: 502, name: 'upstream-unreachable', ran: 'no', retryAfter: 500, remedy: 'Ask again after the time given.',
	},
	4003: {
		status: 502, name: 'upstream-broken', ran: 'unknown', retryAfter: 500, remedy: 'Ask again only if the request may run twice.',
	},
	4004: {
		status: 502, name: 'upstream-silent', ran: 'unknown', retryAfter: 500, remedy: 'Ask again only if the request may run twice.',
	},
	4005: {
		status: 502, name: 'upstream-refused', ran: 'no', retryAfter: 1000, remedy: 'Ask again after the time given.',
	},
	4006: {
		status: 409, name: 'stale-fencing-number', ran: 'no', remedy: 'Give no further orders under this lease.',
	},
	4007: {
		status: 409, name: 'claimed-elsewhere', ran: 'unknown', retryAfter: 1000, remedy: 'Ask again with the same idempotency key to get the answer of the attempt under way.',
	},
	4008: {
		status: 409, name: 'outcome-unknown', ran: 'unknown', remedy: 'The one attempt was lost; check its effect before using a new idempotency key.',
	},
	4009: {
		status: 499, name: 'caller-left', ran: 'unknown', remedy: 'The caller closed the connection; nothing to do.',
	},
	4010: {
		status: 502, name: 'instance-stopped', ran: 'unknown', retryAfter: 500, remedy: 'Ask again only if the request may run twice; another instance will answer.',
	},
	4103: {
		status: 409, name: 'lease-expired', ran: 'no', retryAfter: 1000, remedy: 'Wait for the next holder of the lease.',
	},
	// Failures of platform services.
	5001: {
		status: 503, name: 'table-unavailable', ran: 'no', retryAfter: 2000, remedy: 'Ask again after the time given.',
	},
	5002: {
		status: 503, name: 'table-answer-lost', ran: 'unknown', retryAfter: 2000, remedy: 'Read back before repeating the write.',
	},
	5003: {
		status: 503, name: 'table-rate-limited', ran: 'no', retryAfter: 1000, remedy: 'Ask again after the time given.',
	},
	5004: {
		status: 503, name: 'objects-unavailable', ran: 'no', retryAfter: 2000, remedy: 'Ask again after the time given.',
	},
	5005: {
		status: 503, name: 'instance-list-unavailable', ran: 'no', retryAfter: 2000, remedy: 'Ask again after the time given.',
	},
	5006: {
		status: 503, name: 'weights-rate-limited', ran: 'no', retryAfter: 1000, remedy: 'Ask again after the time given.',
	},
	5007: {
		status: 503, name: 'weights-unavailable', ran: 'no', retryAfter: 2000, remedy: 'Ask again after the time given.',
	},
	5008: {
		status: 503, name: 'configuration-unknown', ran: 'no', retryAfter: 500, remedy: 'Ask again after the time given; this instance has just started.',
	},
	5900: {
		status: 500, name: 'unexpected', ran: 'unknown', remedy: 'Report the log lines of this request id.',
	},
	// Invalid or conflicting configuration, settings and commands.
	6001: {
		status: 400, name: 'invalid-configuration', ran: 'no', remedy: 'Correct the document as the message says; "carobquay check" tests it offline.',
	},
	6002: {
		status: 409, name: 'configuration-conflict', ran: 'no', remedy: 'Read the newer generation, then apply the change again.',
	},
	6003: {
		status: 503, name: 'configuration-outcome-unknown', ran: 'unknown', retryAfter: 2000, remedy: 'Ask "carobquay get change ID" before applying again.',
	},
	7001: {
		status: 400, name: 'invalid-settings', ran: 'no', remedy: 'Correct the settings as the message says.',
	},
	7002: {
		status: 400, name: 'invalid-command', ran: 'no', remedy: 'See "carobquay help".',
	},
	7003: {
		status: 400, name: 'settings-unusable', ran: 'no', remedy: 'Correct the settings file that the message names; the process reads it again until it gives up.',
	},
	7004: {
		status: 503, name: 'port-unavailable', ran: 'no', remedy: 'End the process that holds the port, or change the address in the settings.',
	},
	// Errors in the protocol between instances.
	8001: {
		status: 400, name: 'bad-frame', ran: 'no', remedy: 'Run instances of compatible versions with the same peer keys.',
	},
	8002: {
		status: 403, name: 'peer-rejected', ran: 'no', remedy: 'Give both instances a common peer key.',
	},
} as const satisfies Record<string, ErrorEntry>;

/** Number of an error, as a string. */
export type ErrorCode = `${keyof typeof entries}`;

/** Numbered errors, keyed by number. */
export const errorCatalogue: Readonly<Record<ErrorCode, ErrorEntry>> = entries;
