import {EventLog} from '../../telemetry/log.js';
import {RequestQuarantine, type RequestQuarantineOptions} from '../request-quarantine.js';

/** A quarantine whose engines have all crashed when their connections break, and that reports to nobody. */
export function createQuarantine(options: Partial<RequestQuarantineOptions> = {}): RequestQuarantine {
	const ignore = () => undefined;
	return new RequestQuarantine({
		ownIp: '127.0.0.1', instances: () => ['127.0.0.1'], crashCheck: {hasCrashed: async () => true}, isLeaving: () => false,
		listener: {crashObserved: ignore, soundnessKnown: ignore, quarantineChanged: ignore}, log: new EventLog({write: ignore}), ...options,
	});
}
