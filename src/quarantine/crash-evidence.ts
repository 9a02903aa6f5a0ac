/**
 * Crashes of engines with what was in flight there, and which fingerprints have been answered.
 *
 * A request is described by fingerprints, such as the parts of its prompt. One that crashes engines is in flight at each
 * crash and is never answered; sound ones are hit by chance, and their answers clear them.
 *
 * @module
 */

/** One run of an engine, from its start to its crash. */
export type EngineRun = {
	engineId: string;
	/** Unix time in milliseconds of its start; 0 where it is not stated. */
	startedAt: number;
	failureDomain: string;
};

/** A fingerprint that was in flight at a crash. */
export type CrashSuspect = {
	fingerprint: string;
	/** Monotonic time in milliseconds at which its request was sent to the engine. */
	sentAt: number;
	/** Place among the fingerprints of its request, from the most widely shared to the least. */
	position: number;
};

/** A crash as one or more instances have observed it. */
export type EngineCrash = {
	run: EngineRun;
	/** Monotonic time in milliseconds. */
	at: number;
	suspects: readonly CrashSuspect[];
};

/** Time in milliseconds after which a crash no longer counts. */
const evidenceLifetime = 600_000;

/**
 * Time in milliseconds within which crashes may have one cause, such as the loss of a failure domain: several times the
 * latency between failure domains, as each instance notices a crash at its own moment.
 */
const commonCauseWindow = 50;

/** Most crashes in one moment that count; more tell of a common cause. */
const maximumCrashesOfMoment = 2;

/** Most crashes that are kept, and most suspects of each; of more, the oldest crashes go first. */
const maximumCrashes = 128;
export const maximumSuspects = 256;

/** Most fingerprints whose last answer is remembered. */
const maximumSuccesses = 8192;

type RecordedCrash = {engineId: string; failureDomain: string; at: number; suspects: Map<string, Omit<CrashSuspect, 'fingerprint'>>};

/** Evidence of one instance, its own and that of its peers. */
export class CrashEvidence {
	readonly #crashes = new Map<string, RecordedCrash>();
	/** Monotonic times in milliseconds of the last answers, the latest last. */
	readonly #successes = new Map<string, number>();

	/** Adds a crash or further suspects of a known one; the order of reports and repetitions make no difference. */
	recordCrash({run, at, suspects}: EngineCrash): void {
		const key = `${run.engineId} ${run.startedAt}`;
		const crash = this.#crashes.get(key) ?? {
			engineId: run.engineId, failureDomain: run.failureDomain, at, suspects: new Map<string, Omit<CrashSuspect, 'fingerprint'>>(),
		};
		crash.at = Math.min(crash.at, at);
		for (const {fingerprint, sentAt, position} of suspects) {
			const known = crash.suspects.get(fingerprint);
			if (known !== undefined || crash.suspects.size < maximumSuspects) {
				crash.suspects.set(fingerprint, {sentAt: Math.max(sentAt, known?.sentAt ?? sentAt), position: Math.max(position, known?.position ?? position)});
			}
		}

		this.#crashes.set(key, crash);
		this.#removeOldCrashes(at);
	}

	/** Records that an engine answers a request with this fingerprint. */
	recordSuccess(fingerprint: string, at: number): void {
		const latest = Math.max(at, this.#successes.get(fingerprint) ?? at);
		this.#successes.delete(fingerprint);
		this.#successes.set(fingerprint, latest);
		if (this.#successes.size > maximumSuccesses) {
			this.#successes.delete(this.#successes.keys().next().value!);
		}
	}

	/** Monotonic time in milliseconds of the last known answer; undefined if none is known. */
	lastSuccessAt(fingerprint: string): number | undefined {
		return this.#successes.get(fingerprint);
	}

	/**
	 * Number of crashes that each tell anew against a fingerprint: since its last answer, and not in the same moment as
	 * another one before which its request was already in flight. Of those in one moment a second one counts if it was in
	 * another failure domain.
	 *
	 * @param explanations - Fingerprints whose crashes are explained and don't count.
	 * @param until - Monotonic time in milliseconds; later crashes don't count.
	 */
	countCrashes(fingerprint: string, explanations: readonly string[] = [], until: number = Number.POSITIVE_INFINITY): number {
		let count = 0;
		let moment: {at: number; failureDomain: string; crashes: number} | undefined;
		for (const {at, failureDomain, suspects} of this.#crashesOf(fingerprint, explanations, until)) {
			if (!moment || at - moment.at > commonCauseWindow || suspects.get(fingerprint)!.sentAt > moment.at) {
				moment = {at, failureDomain, crashes: 1};
				count += 1;
			} else if (moment.crashes < maximumCrashesOfMoment && failureDomain !== moment.failureDomain) {
				moment.crashes += 1;
				count += 1;
			}
		}

		return count;
	}

	/** Engines whose crashes tell against a fingerprint, in the order of the crashes. */
	crashedEngines(fingerprint: string): string[] {
		return this.#crashesOf(fingerprint, [], Number.POSITIVE_INFINITY).map(({engineId}) => engineId);
	}

	/** Furthest place in a request at which a fingerprint was in flight at a crash. */
	position(fingerprint: string): number {
		return Math.max(...[...this.#crashes.values()].map(({suspects}) => suspects.get(fingerprint)?.position ?? 0));
	}

	/** Whether a fingerprint was in flight at each crash that tells against another one. */
	explains(fingerprint: string, other: string): boolean {
		return this.#crashesOf(other, [], Number.POSITIVE_INFINITY).every(({suspects}) => suspects.has(fingerprint));
	}

	/** Fingerprints that were in flight at so many crashes or more. */
	suspects(minimumCrashes: number): string[] {
		const counts = new Map<string, number>();
		for (const {suspects} of this.#crashes.values()) {
			for (const fingerprint of suspects.keys()) {
				counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
			}
		}

		return [...counts].filter(([, count]) => count >= minimumCrashes).map(([fingerprint]) => fingerprint);
	}

	/** Monotonic time in milliseconds of the latest crash; undefined if there is none. */
	get lastCrashAt(): number | undefined {
		return this.#crashes.size === 0 ? undefined : Math.max(...[...this.#crashes.values()].map(({at}) => at));
	}

	/** Whether any crash still counts. @param now - Monotonic time in milliseconds. */
	hasCrashes(now: number): boolean {
		return this.lastCrashAt !== undefined && now - this.lastCrashAt <= evidenceLifetime;
	}

	/** Whether a fingerprint was in flight at any crash. */
	isSuspect(fingerprint: string): boolean {
		return [...this.#crashes.values()].some(({suspects}) => suspects.has(fingerprint));
	}

	/** Drops all that tells against a fingerprint. */
	clear(fingerprint: string): void {
		for (const {suspects} of this.#crashes.values()) {
			suspects.delete(fingerprint);
		}
	}

	/** Crashes that may tell against a fingerprint, the earliest first. */
	#crashesOf(fingerprint: string, explanations: readonly string[], until: number): RecordedCrash[] {
		const lastSuccess = this.#successes.get(fingerprint) ?? Number.NEGATIVE_INFINITY;
		return [...this.#crashes.values()]
			.filter(({at, suspects}) => suspects.has(fingerprint) && at > lastSuccess && at <= until && !explanations.some(other => other !== fingerprint && suspects.has(other)))
			.toSorted((one, other) => one.at - other.at);
	}

	#removeOldCrashes(now: number): void {
		for (const [key, {at}] of this.#crashes) {
			if (now - at > evidenceLifetime || this.#crashes.size > maximumCrashes) {
				this.#crashes.delete(key);
			}
		}
	}
}
