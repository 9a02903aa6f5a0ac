/**
 * Error codes and texts of refusals by placement.
 *
 * @module
 */
import type {ErrorCode} from '../errors/catalogue.js';
import type {ServiceRefusal} from '../placement/engine-eligibility.js';
import type {PromptDecision} from '../placement/prompt-placement.js';

/** Error codes of refused prompts by the reason of the refusal. */
export const refusalCodes: Readonly<Record<Extract<PromptDecision, {kind: 'refuse'}>['reason'], ErrorCode>> = {
	'no-engine': '3005', 'too-late': '3004', overloaded: '3002', 'does-not-fit': '3002', 'rate-limited': '3002', paused: '3002', cold: '3002',
};

/** Texts for the refusals of requests without a prompt, before the name of the service. */
export const refusalReasons: Readonly<Record<ServiceRefusal['reason'], string>> = {
	'no-engine': 'no engine is ready of service', 'rate-limited': 'all ready engines limit their requests of service', paused: 'all ready engines have asked for a pause of service',
	cold: 'all ready engines have just started and get few requests at first, of service',
};
