/**
 * Keeps requests that crash engines from reaching more of them.
 *
 * Each instance tells all others of the crashes that it observes and what was in flight there. Once the crashes under a
 * fingerprint are too many to be chance, the instance that sees it first quarantines the fingerprint and tells the
 * others. Now and then one request is let through as a probe; an answer lifts the quarantine.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {rendezvous} from '../fleet/rendezvous.js';
import type {EventLog} from '../telemetry/log.js';
import type {CheckedEngine, CrashCheck} from '../upstream/crash-check.js';
import {CrashBaseRate} from './crash-base-rate.js';
import {
	CrashEvidence, maximumSuspects, type CrashSuspect, type EngineCrash,
} from './crash-evidence.js';
import {CrashVerdicts} from './crash-verdicts.js';
import {QuarantineList, type QuarantineEntry} from './quarantine-list.js';
import {SoundnessReports, type SoundReport} from './soundness-reports.js';

/** Receives what this instance has found out, to report it to all others. */
export interface QuarantineListener {
	crashObserved(crash: EngineCrash): void;
	/** An engine has answered a request with a fingerprint that other instances suspect. */
	soundnessKnown(report: SoundReport): void;
	quarantineChanged(entry: QuarantineEntry): void;
}

/** Options of a `RequestQuarantine`. */
export type RequestQuarantineOptions = {
	ownIp: string;
	/** IP addresses of the live instances, this one included. */
	instances: () => readonly string[];
	crashCheck: Pick<CrashCheck, 'hasCrashed'>;
	/** Whether an engine is expected to end soon, so that its end is not a crash. */
	isLeaving: (engineId: string) => boolean;
	listener: QuarantineListener;
	log: EventLog;
	/**
	 * Numbers from 0 (inclusive) to 1 (exclusive).
	 *
	 * @default Math.random
	 */
	random?: () => number;
};

/** What happens to a request before it is sent to an engine. */
export type QuarantineDecision
	= | {kind: 'admitted'}
		/** The request is let through to test whether the fingerprint still crashes engines. */
		| {kind: 'probe'; fingerprint: string}
		/** `retryAfter` is in milliseconds. */
		| {kind: 'quarantined'; fingerprint: string; retryAfter: number};

/** How an attempt at an engine ended. */
export type ObservedAttempt = {
	engine: CheckedEngine;
	/** Monotonic time in milliseconds. */
	sentAt: number;
	end: 'answered' | 'connection-lost' | 'other';
	/** Whether the engine had been writing the answer for a while, so that the request did not crash it. */
	isEstablished: boolean;
};

/** A quarantined fingerprint and why, for operators. */
export type QuarantineDescription = QuarantineEntry & {
	/** Time in milliseconds since the entry last changed. */
	age: number;
	timeUntilProbe: number;
	/** Engines that are known to have crashed under it. */
	crashedEngines: readonly string[];
};

/** Time in milliseconds in which all instances have reported a crash, and those that know its suspects to be sound have said so. */
const settlingTime = 100;

/** Most fingerprints in a log line. */
const maximumLoggedSuspects = 8;

/** Least Retry-After in milliseconds of a quarantined request. */
const minimumRetryAfter = 1000;

/** Crashes, suspicions and quarantine as one instance knows them. */
export class RequestQuarantine {
	readonly #options: RequestQuarantineOptions;
	readonly #evidence = new CrashEvidence();
	readonly #baseRate = new CrashBaseRate();
	readonly #list = new QuarantineList();
	readonly #verdicts = new CrashVerdicts({evidence: this.#evidence, baseRate: this.#baseRate, list: this.#list});
	readonly #soundness: SoundnessReports;
	#judgementTimer: NodeJS.Timeout | undefined;
	#judgement: Promise<void> | undefined;
	#endJudgement: (() => void) | undefined;
	/** Monotonic time in milliseconds up to which crashes have been judged. */
	#judgedUntil = Number.NEGATIVE_INFINITY;

	constructor(options: RequestQuarantineOptions) {
		this.#options = options;
		this.#soundness = new SoundnessReports(report => {
			options.listener.soundnessKnown(report);
		}, options.random);
	}

	/** Number of quarantined fingerprints. */
	get size(): number {
		return this.#list.quarantined.length;
	}

	/** Whether any fingerprint is suspected or quarantined. */
	get isWatching(): boolean {
		return this.#evidence.hasCrashes(performance.now()) || this.#list.entries.length > 0;
	}

	/** Entries for an instance that has just started, lifted ones included. */
	get entries(): readonly QuarantineEntry[] {
		return this.#list.entries;
	}

	/** Quarantined fingerprints, with what tells against them. */
	describe(): QuarantineDescription[] {
		const now = performance.now();
		return this.#list.entries.filter(({fingerprint}) => this.#list.has(fingerprint)).map(entry => ({
			...entry, age: now - (this.#list.changedAt(entry.fingerprint) ?? now), timeUntilProbe: this.#list.timeUntilProbe(entry.fingerprint, now),
			crashedEngines: this.#evidence.crashedEngines(entry.fingerprint),
		}));
	}

	close(): void {
		clearTimeout(this.#judgementTimer);
		this.#endJudgement?.();
		this.#soundness.close();
	}

	/** Decides on a new request. A probe is counted at once. */
	decide(fingerprints: readonly string[]): QuarantineDecision {
		const quarantined = fingerprints.filter(fingerprint => this.#list.has(fingerprint));
		const [fingerprint] = quarantined;
		if (fingerprint === undefined) {
			return {kind: 'admitted'};
		}

		const now = performance.now();
		const timeUntilProbe = this.#list.timeUntilProbe(fingerprint, now);
		const {ownIp, instances, log} = this.#options;
		if (quarantined.length === 1 && timeUntilProbe === 0 && rendezvous(fingerprint, instances(), 1)[0] === ownIp) {
			this.#notify(this.#list.recordProbe(fingerprint, now));
			log.info('quarantine.probe', {fingerprint});
			return {kind: 'probe', fingerprint};
		}

		return {kind: 'quarantined', fingerprint, retryAfter: Math.max(minimumRetryAfter, timeUntilProbe)};
	}

	has(fingerprint: string): boolean {
		return this.#list.has(fingerprint);
	}

	/** Whether half of the crashes that lead to a quarantine are known of one of the fingerprints. Requests with it use as few engines as possible. */
	isSuspected(fingerprints: readonly string[]): boolean {
		return fingerprints.slice(0, maximumSuspects).some(fingerprint => this.#verdicts.isSuspected(fingerprint));
	}

	/** Resolves when no fingerprint is about to be quarantined, at once for most requests, and for all others as soon as the reports of its crashes are in. */
	async waitForJudgement(fingerprints: readonly string[]): Promise<void> {
		const isAwaited = () => fingerprints.slice(0, maximumSuspects).some(fingerprint => this.#verdicts.awaitsJudgement(fingerprint, this.#judgedUntil));
		while (this.#judgement && isAwaited()) {
			await this.#judgement; // eslint-disable-line no-await-in-loop
		}
	}

	/** Records how an attempt ended. Resolves when it is known whether its engine has crashed. */
	async recordAttempt(fingerprints: readonly string[], {engine, sentAt, end, isEstablished}: ObservedAttempt): Promise<void> {
		const wasSuspected = fingerprints.slice(0, maximumSuspects).some(fingerprint => this.#evidence.isSuspect(fingerprint));
		const mayHaveCrashed = end === 'connection-lost' && !isEstablished && !this.#options.isLeaving(engine.id);
		const now = performance.now();
		const hasCrashed = mayHaveCrashed && await this.#options.crashCheck.hasCrashed(engine);
		if (!wasSuspected) {
			this.#baseRate.record(hasCrashed, now);
		}

		if (end === 'answered') {
			this.recordSoundness(fingerprints);
		} else if (hasCrashed) {
			this.#recordCrash(engine, fingerprints, sentAt, now);
		}
	}

	/** Records that an engine answers a request with these fingerprints, which clears them and lifts their quarantine. */
	recordSoundness(fingerprints: readonly string[]): void {
		const now = performance.now();
		for (const fingerprint of fingerprints.slice(0, maximumSuspects)) {
			const isSuspectElsewhere = this.#evidence.isSuspect(fingerprint) && this.#evidence.countCrashes(fingerprint) > 0;
			this.#evidence.recordSuccess(fingerprint, now);
			this.lift(fingerprint, 'an engine answers a request with it');
			if (isSuspectElsewhere) {
				this.#soundness.schedule(fingerprint, now);
			}
		}
	}

	/** Takes over a crash that another instance reports. */
	receiveCrash(crash: EngineCrash): void {
		this.#evidence.recordCrash(crash);
		for (const {fingerprint} of crash.suspects) {
			this.#soundness.schedule(fingerprint, this.#evidence.lastSuccessAt(fingerprint));
		}

		this.#scheduleJudgement();
	}

	/** Takes over that an engine has answered a request with a fingerprint at another instance. */
	receiveSoundness({fingerprint, answeredAt}: SoundReport): void {
		this.#evidence.recordSuccess(fingerprint, answeredAt);
		this.#soundness.cancel(fingerprint);
	}

	/** Takes over another instance's entry of the quarantine list. */
	receiveEntry(entry: QuarantineEntry): void {
		const change = this.#list.merge(entry, performance.now());
		if (change === 'none') {
			return;
		}

		this.#options.log.warn(`quarantine.${change}`, {fingerprint: entry.fingerprint, origin: 'peer', revision: entry.revision});
		if (change === 'added') {
			this.#liftExplained();
		} else if (this.#verdicts.explanationOf(entry.fingerprint) === undefined) {
			this.#evidence.clear(entry.fingerprint);
		}
	}

	/** Lifts a quarantine. @param reason - Written to the log. @returns false if the fingerprint is not quarantined. */
	lift(fingerprint: string, reason: string): boolean {
		const entry = this.#list.lift(fingerprint, performance.now());
		if (!entry) {
			return false;
		}

		this.#evidence.clear(fingerprint);
		this.#options.log.warn('quarantine.lifted', {
			fingerprint, origin: 'own', revision: entry.revision, reason,
		});
		this.#notify(entry);
		return true;
	}

	#recordCrash({id, startedAt, failureDomain}: CheckedEngine, fingerprints: readonly string[], sentAt: number, now: number): void {
		const {log, listener} = this.#options;
		const suspects = this.#suspectsOf(fingerprints, sentAt);
		const run = {engineId: id, startedAt: startedAt ?? 0, failureDomain};
		this.#evidence.recordCrash({run, at: now, suspects});
		log.warn('engine.crashed', {engine: id, suspects: fingerprints.slice(0, maximumLoggedSuspects).join(','), count: fingerprints.length});
		// Fingerprints with answers are told only after a second crash in a row, so that those in wide use cost no messages.
		const told = suspects.filter(({fingerprint}) => this.#evidence.lastSuccessAt(fingerprint) === undefined || this.#evidence.countCrashes(fingerprint) > 1);
		if (told.length > 0) {
			listener.crashObserved({run, at: now, suspects: told});
		}

		this.#scheduleJudgement();
	}

	/** At most so many suspects as a crash holds: those of earlier crashes first, then the last ones, as a prompt's first parts are the most widely shared. */
	#suspectsOf(fingerprints: readonly string[], sentAt: number): readonly CrashSuspect[] {
		const suspects = fingerprints.map((fingerprint, position) => ({fingerprint, sentAt, position}));
		if (suspects.length <= maximumSuspects) {
			return suspects;
		}

		const known = suspects.filter(({fingerprint}) => this.#evidence.isSuspect(fingerprint));
		const others = suspects.filter(({fingerprint}) => !this.#evidence.isSuspect(fingerprint));
		return [...known, ...others.toReversed()].slice(0, maximumSuspects);
	}

	#scheduleJudgement(): void {
		this.#judgement ??= new Promise(resolve => {
			this.#endJudgement = resolve;
			this.#judgementTimer = setTimeout(() => {
				this.#judge(performance.now() - settlingTime);
				resolve();
			}, settlingTime);
		});
	}

	/** @param until - Monotonic time in milliseconds; of later crashes some reports may still be on their way. */
	#judge(until: number): void {
		this.#judgement = undefined;
		this.#quarantineGuilty(until);
		this.#judgedUntil = until;
		if ((this.#evidence.lastCrashAt ?? until) > until) {
			this.#scheduleJudgement();
		}
	}

	/** Quarantines fingerprints as long as the crashes under one can't be chance and no other explains them. */
	#quarantineGuilty(until: number): void {
		for (;;) {
			const verdict = this.#verdicts.mostSuspect(until);
			const entry = verdict && this.#list.add(verdict.fingerprint, performance.now());
			if (!verdict || !entry) {
				return;
			}

			this.#options.log.error('quarantine.added', {
				fingerprint: verdict.fingerprint, origin: 'own', revision: entry.revision, crashes: verdict.crashes, required: this.#verdicts.requiredCrashes(),
				base_rate: this.#baseRate.rate(performance.now()).toFixed(2), engines: this.#evidence.crashedEngines(verdict.fingerprint).join(','),
			});
			this.#notify(entry);
			this.#liftExplained();
		}
	}

	/** Lifts quarantines whose crashes another one explains. */
	#liftExplained(): void {
		for (const fingerprint of this.#list.quarantined) {
			const explanation = this.#verdicts.explanationOf(fingerprint);
			const entry = explanation === undefined ? undefined : this.#list.lift(fingerprint, performance.now());
			if (entry) {
				this.#options.log.warn('quarantine.lifted', {
					fingerprint, origin: 'own', revision: entry.revision, reason: `explained by ${explanation}`,
				});
				this.#notify(entry);
			}
		}
	}

	#notify(entry: QuarantineEntry | undefined): void {
		if (entry) {
			this.#options.listener.quarantineChanged(entry);
		}
	}
}
