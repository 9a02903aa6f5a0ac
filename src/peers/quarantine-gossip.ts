/**
 * Tells the other instances of crashes and of the quarantine list: at once, and again in heartbeats, as datagrams get lost.
 *
 * @module
 */
import {maximumSuspects, type EngineCrash} from '../quarantine/crash-evidence.js';
import type {QuarantineEntry} from '../quarantine/quarantine-list.js';
import type {QuarantineListener} from '../quarantine/request-quarantine.js';
import type {SoundReport} from '../quarantine/soundness-reports.js';
import type {PeerDatagram} from './peer-datagram.js';

/** Parts of a datagram that concern the quarantine. */
export type QuarantineParts = Pick<PeerDatagram, 'crashes' | 'soundReports' | 'quarantineEntries'>;

/** Time in milliseconds for which reports are collected, as one crash breaks several requests. */
const batchDelay = 1;

/** Heartbeats that repeat a crash. */
const crashRepetitions = 3;

/** Most crashes and entries in one datagram; with their fingerprints they stay well below the size limit of a datagram. */
const maximumCrashesPerDatagram = 16;
const maximumEntriesPerDatagram = 100;

/** Entries that each heartbeat carries in turn. */
const entriesPerHeartbeat = 8;

/** Reports of one instance. */
export class QuarantineGossip implements QuarantineListener {
	readonly #broadcast: (parts: QuarantineParts) => void;
	#pending = emptyParts();
	#batchTimer: NodeJS.Timeout | undefined;
	#recentCrashes: Array<{crash: EngineCrash; repetitionsLeft: number}> = [];
	#nextEntry = 0;

	/** @param broadcast - Sends a datagram to all other instances. */
	constructor(broadcast: (parts: QuarantineParts) => void) {
		this.#broadcast = broadcast;
	}

	crashObserved(crash: EngineCrash): void {
		this.#recentCrashes.push({crash, repetitionsLeft: crashRepetitions});
		this.#pending.crashes.push(crash);
		this.#schedule();
	}

	soundnessKnown(report: SoundReport): void {
		this.#pending.soundReports.push(report);
		this.#schedule();
	}

	quarantineChanged(entry: QuarantineEntry): void {
		this.#pending.quarantineEntries.push(entry);
		this.#schedule();
	}

	/** What the next heartbeat carries. @param entries - The whole quarantine list. */
	heartbeatParts(entries: readonly QuarantineEntry[]): QuarantineParts {
		const [crashes = []] = divideCrashes(this.#recentCrashes.map(({crash}) => crash));
		this.#recentCrashes = this.#recentCrashes
			.map(({crash, repetitionsLeft}, index) => ({crash, repetitionsLeft: repetitionsLeft - (index < crashes.length ? 1 : 0)}))
			.filter(({repetitionsLeft}) => repetitionsLeft > 0);
		const start = this.#nextEntry % Math.max(1, entries.length);
		this.#nextEntry = start + entriesPerHeartbeat;
		return {crashes, soundReports: [], quarantineEntries: [...entries.slice(start), ...entries.slice(0, start)].slice(0, entriesPerHeartbeat)};
	}

	close(): void {
		clearTimeout(this.#batchTimer);
	}

	#schedule(): void {
		this.#batchTimer ??= setTimeout(() => {
			this.#batchTimer = undefined;
			const pending = this.#pending;
			this.#pending = emptyParts();
			for (const parts of divideIntoDatagrams(pending)) {
				this.#broadcast(parts);
			}
		}, batchDelay);
	}
}

/** Divides reports so that each datagram stays below its size limit. */
export function divideIntoDatagrams({crashes, soundReports, quarantineEntries}: QuarantineParts): QuarantineParts[] {
	const crashGroups = divideCrashes(crashes);
	const count = Math.max(
		crashGroups.length,
		Math.ceil(soundReports.length / maximumEntriesPerDatagram),
		Math.ceil(quarantineEntries.length / maximumEntriesPerDatagram),
	);
	return Array.from({length: count}, (_, index) => ({
		crashes: crashGroups[index] ?? [],
		soundReports: soundReports.slice(index * maximumEntriesPerDatagram, (index + 1) * maximumEntriesPerDatagram),
		quarantineEntries: quarantineEntries.slice(index * maximumEntriesPerDatagram, (index + 1) * maximumEntriesPerDatagram),
	}));
}

/** Groups of crashes of which each fits into one datagram. */
function divideCrashes(crashes: readonly EngineCrash[]): EngineCrash[][] {
	const groups: EngineCrash[][] = [];
	let suspectCount = Number.POSITIVE_INFINITY;
	for (const crash of crashes) {
		suspectCount += crash.suspects.length;
		if (suspectCount > maximumSuspects || groups.at(-1)!.length >= maximumCrashesPerDatagram) {
			groups.push([]);
			suspectCount = crash.suspects.length;
		}

		groups.at(-1)!.push(crash);
	}

	return groups;
}

function emptyParts(): {crashes: EngineCrash[]; soundReports: SoundReport[]; quarantineEntries: QuarantineEntry[]} {
	return {crashes: [], soundReports: [], quarantineEntries: []};
}
