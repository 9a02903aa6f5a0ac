/**
 * The replicas of the store's tables that an instance keeps, each with the watch that updates it.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {PeerMessenger} from '../peers/peer-messenger.js';
import type {TableIndex} from '../peers/table-transfer.js';
import type {EventLog} from '../telemetry/log.js';
import {confirmationTimes, type ConfirmationTimes, recheckAge} from '../watch/confirmation-times.js';
import {maximumPollGap, pollWait} from '../watch/poll-schedule.js';
import type {RowSource} from '../watch/row-source.js';
import {maximumSmallFleet, permanentWatchers} from '../watch/store-watcher-selection.js';
import {TableReplica, type TableReplicaOptions} from '../watch/table-replica.js';
import type {ReplicatedTable, TableReplication} from '../watch/table-replication.js';
import {maximumChangeBatchDelay, TableWatch} from '../watch/table-watch.js';
import type {ServingBounds} from './model.js';

/** Limits for changes of the tables, in milliseconds. */
export type ChangeLimits = {
	/** Time within which a change must be in force. */
	changeLimit: number;
	/** Longest time between the ends of two polls of a fleet in which all instances watch the store. */
	smallFleetPollGap: number;
	/** Age of the store's newest answer at which an instance of such a fleet asks it on a new connection. */
	recheckAge: number;
	confirmationTimes: ConfirmationTimes;
};

/** Derives the limits from the bounds of the settings. @param responseTimeout - Time in milliseconds without a response after which a call to the store fails. */
export function changeLimits(bounds: ServingBounds, responseTimeout: number): ChangeLimits {
	const {propagationLimit, drainLimit = propagationLimit, stabilityWindow} = bounds;
	const changeLimit = Math.min(propagationLimit, drainLimit);
	const smallFleetPollGap = maximumPollGap({...bounds, responseTimeout, changeBatchDelay: maximumChangeBatchDelay});
	return {
		changeLimit, smallFleetPollGap, recheckAge: recheckAge(smallFleetPollGap), confirmationTimes: confirmationTimes({changeLimit, stabilityWindow}),
	};
}

/** Options that all tables share. */
export type ReplicatedTableOptions = {
	store: RowSource;
	log: EventLog;
	ip: string;
	limits: ChangeLimits;
	messenger: PeerMessenger;
	replication: () => TableReplication;
};

/** Creates the replica and the watch of one table. @param content - Its name, what matters in its rows, and who receives them. */
export function createReplicatedTable(
	index: TableIndex,
	{table: name, ...content}: {table: string} & Omit<TableReplicaOptions, 'onStoreChange'>,
	{store, log, ip, limits: {smallFleetPollGap, confirmationTimes: {pollGap}}, messenger, replication}: ReplicatedTableOptions,
): ReplicatedTable {
	const replica = new TableReplica({
		...content,
		onStoreChange(delta) {
			messenger.broadcastDelta(index, delta);
		},
	});
	const otherWatchers = () => messenger.alivePeers.filter(({canReachStore}) => canReachStore);
	const watch: TableWatch = new TableWatch({
		source: store, table: name, listener: replica, log,
		pollWait: (isAfterChange, isFirst) => pollWait({
			// Temporary watchers take no turns: they watch because the turns of the others have not brought an answer, and soon stop.
			ip, otherWatchers: replication().isTemporaryWatcher ? [] : permanentWatchers(ip, messenger.alivePeers).filter(({canReachStore}) => canReachStore).map(peer => peer.ip),
			// Only some instances of a large fleet watch, and the others must notice in time that these get no answers.
			maximumGap: messenger.alivePeers.length < maximumSmallFleet ? smallFleetPollGap : Math.min(smallFleetPollGap, pollGap),
			isAfterChange, isFirst,
		}),
		watcherCount: () => 1 + otherWatchers().length,
		canPeersReachStore: () => otherWatchers().some(({confirmedAt}) => performance.now() - Math.min(...confirmedAt) < watch.timeSinceLastFailure),
		onRead() {
			replication().handleTableRead();
		},
	});
	return {name, replica, watch};
}
