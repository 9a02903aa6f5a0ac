/**
 * What the end of an attempt tells the quarantine.
 *
 * @module
 */
import type {ObservedAttempt} from '../quarantine/request-quarantine.js';
import type {AttemptOutcome} from './engine-attempt.js';
import type {InFlightAttempt} from './hedged-attempts.js';

/** Events of an answer by which an engine has shown that its request doesn't crash it. */
export const establishedEventCount = 3;

/** The end of an attempt as the quarantine sees it. */
export function observeAttempt({engine, attempt, sentAt, eventCount}: InFlightAttempt, outcome: AttemptOutcome): ObservedAttempt {
	return {
		engine: engine.record, sentAt, end: endOf(outcome, !attempt.isContinuation), isEstablished: eventCount >= establishedEventCount,
	};
}

/** @param isConclusive - False for the rest of an answer that another engine began and that is too short to tell. */
function endOf(outcome: AttemptOutcome, isConclusive: boolean): ObservedAttempt['end'] {
	if (outcome.kind === 'complete' && outcome.status >= 200 && outcome.status < 300 && isConclusive) {
		return 'answered';
	}

	return outcome.kind === 'broken' && outcome.isConnectionLost ? 'connection-lost' : 'other';
}
