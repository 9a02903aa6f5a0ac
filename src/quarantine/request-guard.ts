/**
 * What one request asks the quarantine before each attempt, and tells it after each one.
 *
 * @module
 */
import {maximumSuspects} from './crash-evidence.js';
import type {RequestFingerprints} from './request-fingerprint.js';
import type {ObservedAttempt, QuarantineDecision, RequestQuarantine} from './request-quarantine.js';

/** Guard of one request. */
export class RequestGuard {
	readonly #quarantine: RequestQuarantine;
	readonly #fingerprints: RequestFingerprints;
	/** Fingerprint that this request probes. */
	#probed: string | undefined;
	#settled: Promise<unknown> = Promise.resolve();

	constructor(quarantine: RequestQuarantine, fingerprints: RequestFingerprints) {
		this.#quarantine = quarantine;
		this.#fingerprints = fingerprints;
	}

	/** Decides on the request before its first attempt. */
	decide(): QuarantineDecision {
		const decision = this.#quarantine.decide(this.#relevantFingerprints);
		this.#probed = decision.kind === 'probe' ? decision.fingerprint : undefined;
		return decision;
	}

	/** Resolves when the request is not about to be quarantined. */
	async waitForJudgement(): Promise<void> {
		await this.#quarantine.waitForJudgement(this.#relevantFingerprints);
	}

	/** Fingerprint that has been quarantined since, so that no further attempt may start; undefined if there is none. */
	get blockedBy(): string | undefined {
		return this.#relevantFingerprints.find(fingerprint => fingerprint !== this.#probed && this.#quarantine.has(fingerprint));
	}

	/** Whether the request may crash engines, so that it goes to one engine alone and is neither hedged nor sent again. */
	get isIsolated(): boolean {
		return this.#probed !== undefined || this.#quarantine.isSuspected(this.#relevantFingerprints);
	}

	/** Records that an engine has gone on writing the answer for a while, so that the request doesn't crash it. */
	recordSoundness(): void {
		this.#quarantine.recordSoundness(this.#relevantFingerprints);
	}

	/** Records how an attempt ended. */
	recordAttempt(attempt: ObservedAttempt): void {
		const fingerprints = attempt.end === 'connection-lost' ? this.#allFingerprints : this.#relevantFingerprints;
		const recorded = this.#quarantine.recordAttempt(fingerprints, attempt);
		this.#settled = Promise.all([this.#settled, recorded]);
	}

	/** Resolves when it is known whether the engines of all recorded attempts have crashed. */
	async settled(): Promise<void> {
		await this.#settled;
	}

	/** The body is hashed only while any request is suspected. */
	get #relevantFingerprints(): readonly string[] {
		return this.#quarantine.isWatching ? this.#allFingerprints : this.#fingerprints.promptParts;
	}

	/**
	 * The one that the fewest requests share comes last: of those with the same crashes it is quarantined. That is the whole
	 * request where it has a body, and a part otherwise. A request with too many parts begins with the whole, to keep it among the suspects.
	 */
	get #allFingerprints(): readonly string[] {
		const {wholeRequest, promptParts, hasBody} = this.#fingerprints;
		return hasBody && promptParts.length < maximumSuspects ? [...promptParts, wholeRequest] : [wholeRequest, ...promptParts];
	}
}
