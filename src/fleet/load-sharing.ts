/**
 * Divides the reading of upstream loads among instances and passes changes on within a budget of bytes.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import type {ListedInstance} from '../platform/instance-list.js';
import {hashText} from '../routing/seeded-hash.js';
import type {LoadReportSharing, SharedLoad} from '../upstream/directory.js';
import {
	loadAge, loadDigestSize, type LoadDigest, loadVersion,
} from './load-digest.js';

/** Bytes in each second that an instance may spend on loads, sent and received. */
const byteBudget = 1500;

/** Part of a load's figures by which it must have changed to be passed on. */
const materialShare = 0.1;

/** Time in milliseconds between two readings by an instance that is not the watcher, for each upstream listed. */
const unwatchedIntervalPerUpstream = 2000;

/** Readings by a watcher in the time between two digests of one upstream. */
const readingsPerDigest = 8;

/** Time in milliseconds between two readings of the instance list, for each instance listed. */
const listIntervalPerInstance = 150;

/** Greatest delay in milliseconds of reading a list that has changed, for each instance listed and in all. */
const listDelayPerInstance = 2;
const maximumListDelay = 2000;

/** The part of a fleet that sharing needs. */
export interface LoadChannel {
	/** Whether any other instance is linked. */
	readonly isJoined: boolean;
	/** Newest revision of the instance list that any instance has told of. */
	readonly listRevision: number;
	isWatcher(upstream: string): boolean;
	publishLoad(load: LoadDigest): void;
	setListed(instances: readonly ListedInstance[]): void;
	announceListRevision(revision: number): void;
}

export type LoadSharingOptions = {
	channel: LoadChannel;
	/** Members that each instance dials: a load passes each instance about twice this number of times. */
	fanOut: number;
	/** Time in milliseconds between readings of an upstream by its watcher. */
	loadInterval: number;
	/** Number of upstreams up to which every instance reads all of them itself. */
	directLimit: number;
};

/** Decides when to read a load and when to pass it on. */
export class WatcherSharing implements LoadReportSharing {
	readonly #options: LoadSharingOptions;
	readonly #published = new Map<string, {load: SharedLoad; at: number}>();
	#names = new Map<number, string>();
	#listSize = 0;
	#listRevision = 0;

	constructor(options: LoadSharingOptions) {
		this.#options = options;
	}

	/** Time in milliseconds between two digests of one upstream, so that all of them stay within the budget. */
	get digestInterval(): number {
		const copies = 2 * this.#options.fanOut;
		return Math.max(this.#options.loadInterval, this.#names.size * loadDigestSize * copies / byteBudget * 1000);
	}

	loadInterval(upstream: string): number {
		const {channel, loadInterval} = this.#options;
		if (this.#isDirect) {
			return loadInterval;
		}

		if (channel.isWatcher(upstream)) {
			return Math.max(loadInterval, this.digestInterval / readingsPerDigest);
		}

		return Math.max(loadInterval, this.#names.size * unwatchedIntervalPerUpstream);
	}

	loadRead(upstream: string, load: SharedLoad): void {
		const {channel} = this.#options;
		const last = this.#published.get(upstream);
		const now = performance.now();
		const isUrgent = load.leaving !== (last?.load.leaving ?? false);
		const isDue = channel.isWatcher(upstream) && (!last || (now - last.at >= this.digestInterval && isMaterial(last.load, load)));
		if (!isUrgent && (this.#isDirect || !isDue)) {
			return;
		}

		this.#published.set(upstream, {load, at: now});
		channel.publishLoad({
			upstream: hashText(upstream),
			version: loadVersion(),
			running: load.running,
			waiting: load.waiting,
			pendingPromptTokens: load.pendingPromptTokens,
			freePercent: 100 * load.freeKvCacheFraction,
			leaving: load.leaving,
		});
	}

	listInterval(base: number): number {
		if (this.#options.channel.listRevision > this.#listRevision) {
			return Math.random() * Math.min(maximumListDelay, this.#listSize * listDelayPerInstance);
		}

		// Of many instances that read seldom, one soon reads a change and tells the others.
		return this.#isDirect || !this.#options.channel.isJoined ? base : Math.max(base, this.#listSize * listIntervalPerInstance);
	}

	instanceListRead(instances: readonly ListedInstance[], revision: number): void {
		this.#listSize = instances.length;
		this.#listRevision = revision;
		const names = instances.filter(({kind}) => kind !== 'entry').map(({name}) => name);
		this.#names = new Map(names.map(name => [hashText(name), name]));
		for (const name of this.#published.keys()) {
			if (!this.#names.has(hashText(name))) {
				this.#published.delete(name);
			}
		}

		this.#options.channel.setListed(instances);
		this.#options.channel.announceListRevision(revision);
	}

	/** Name and load that a digest stands for; undefined where the upstream is not listed. */
	resolve(digest: LoadDigest): {upstream: string; load: SharedLoad} | undefined {
		const upstream = this.#names.get(digest.upstream);
		const {running, waiting, pendingPromptTokens, freePercent, leaving} = digest;
		return upstream === undefined
			? undefined
			: {
				upstream,
				load: {
					age: loadAge(digest.version), running, waiting, pendingPromptTokens, freeKvCacheFraction: freePercent / 100, leaving,
				},
			};
	}

	get #isDirect(): boolean {
		return this.#names.size <= this.#options.directLimit;
	}
}

function isMaterial(before: SharedLoad, now: SharedLoad): boolean {
	return differs(before.running, now.running) || differs(before.waiting, now.waiting)
		|| differs(before.pendingPromptTokens, now.pendingPromptTokens) || Math.abs(before.freeKvCacheFraction - now.freeKvCacheFraction) > materialShare;
}

function differs(before: number, now: number): boolean {
	return Math.abs(before - now) > materialShare * Math.max(before, now);
}
