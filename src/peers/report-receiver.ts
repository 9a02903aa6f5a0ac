/**
 * Applies what other instances report to what this one knows.
 *
 * @module
 */
import type {DomainLoads} from '../placement/domain-loads.js';
import {type EngineHealth, isFailureCooldown, logCooldown} from '../placement/engine-health.js';
import type {EngineRateLimits} from '../placement/engine-rate-limits.js';
import {type EngineSpeed, logSpeed} from '../placement/engine-speed.js';
import type {LoadTracker} from '../placement/load-tracker.js';
import type {RelayedStatement} from '../placement/placement-listener.js';
import type {RequestQuarantine} from '../quarantine/request-quarantine.js';
import type {EventLog} from '../telemetry/log.js';
import {connectTimeout} from '../upstream/engine-connector.js';
import type {PeerDatagram} from './peer-datagram.js';

/** What reports are applied to. */
export type ReportTargets = {
	loadTracker: LoadTracker;
	domainLoads: DomainLoads;
	engineHealth: EngineHealth;
	engineSpeed: EngineSpeed;
	rateLimits: EngineRateLimits;
	quarantine: RequestQuarantine;
	/** Records what an engine has stated in a response that this instance relayed. */
	recordAvailability: (statement: RelayedStatement) => void;
	log: EventLog;
};

/** Applies the reports of a datagram. @param peer - IP address of its sender. @param now - Monotonic time in milliseconds. */
export function applyReports(
	datagram: PeerDatagram, peer: string,
	{loadTracker, domainLoads, engineHealth, engineSpeed, rateLimits, quarantine, recordAvailability, log}: ReportTargets, now: number,
): void {
	for (const placement of datagram.placements) {
		if (loadTracker.add(placement, now)) {
			for (const {engineId} of placement.assignments) {
				rateLimits.recordRequest(engineId);
			}
		}
	}

	if (datagram.domainLoads) {
		domainLoads.record(datagram.domainLoads, now);
	}

	for (const key of datagram.startedKeys) {
		loadTracker.completePrefill(key, now);
	}

	for (const key of datagram.endedKeys) {
		loadTracker.remove(key, now);
	}

	for (const report of datagram.avoidedEngines) {
		applyAvoidance(report, peer, {engineHealth, log}, now);
	}

	for (const statement of datagram.relayedStatements) {
		recordAvailability(statement);
	}

	for (const {engineId, ...report} of datagram.engineSlowdowns) {
		const before = engineSpeed.factor(engineId, now);
		engineSpeed.recordReport(engineId, report, now);
		logSpeed(log, {
			engineId, origin: peer, before, factor: engineSpeed.factor(engineId, now),
		});
	}

	for (const {engineId, limit} of datagram.engineLimits) {
		rateLimits.recordReportedLimit(engineId, limit, now);
	}

	for (const entry of datagram.quarantineEntries) {
		quarantine.receiveEntry(entry);
	}

	for (const report of datagram.soundReports) {
		quarantine.receiveSoundness(report);
	}

	for (const crash of datagram.crashes) {
		quarantine.receiveCrash(crash);
	}
}

/** Lets an engine cool down that a peer reports, unless it has answered this instance since the peer's request was sent. */
function applyAvoidance({engineId, duration}: PeerDatagram['avoidedEngines'][number], peer: string, {engineHealth, log}: Pick<ReportTargets, 'engineHealth' | 'log'>, now: number): void {
	const timeSinceAnswer = engineHealth.timeSinceAnswer(engineId, now);
	if (timeSinceAnswer < connectTimeout && isFailureCooldown(duration)) {
		return;
	}

	if (!engineHealth.isCoolingDown(engineId, now)) {
		logCooldown(log, {
			engineId, duration, origin: peer, timeSinceAnswer,
		});
	}

	engineHealth.startCooldown(engineId, duration, now);
}
