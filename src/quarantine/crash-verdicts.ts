/**
 * What the crashes known to one instance say about a fingerprint. Instances with the same evidence come to the same verdicts.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {minimumCrashRate, type CrashBaseRate} from './crash-base-rate.js';
import type {CrashEvidence} from './crash-evidence.js';
import type {QuarantineList} from './quarantine-list.js';

/** Largest accepted probability that so many crashes hit a sound fingerprint by chance. */
const falseAccusationProbability = 0.001;

/** Factor on the crashes that are required where an engine is known to have answered a request with the fingerprint. */
const provenFactor = 2;

/** Largest error of a quotient of logarithms. */
const roundingError = 1e-9;

/** A fingerprint that is to be quarantined, with the crashes that count against it. */
export type Verdict = {fingerprint: string; crashes: number};

/** Verdicts of one instance; all times are monotonic, in milliseconds. */
export class CrashVerdicts {
	readonly #evidence: CrashEvidence;
	readonly #baseRate: CrashBaseRate;
	readonly #list: QuarantineList;

	constructor({evidence, baseRate, list}: {evidence: CrashEvidence; baseRate: CrashBaseRate; list: QuarantineList}) {
		this.#evidence = evidence;
		this.#baseRate = baseRate;
		this.#list = list;
	}

	/** Crashes that hit a sound fingerprint by chance with less than the accepted probability. @param rate - Probability of one; by default as observed. */
	requiredCrashes(rate = this.#baseRate.rate(performance.now())): number {
		return Math.ceil((Math.log(falseAccusationProbability) / Math.log(rate)) - roundingError);
	}

	/** Whether half of the crashes that lead to a quarantine are known. */
	isSuspected(fingerprint: string): boolean {
		return this.#evidence.isSuspect(fingerprint)
			&& this.#evidence.countCrashes(fingerprint, this.#list.quarantined) >= this.#requiredCrashesOf(fingerprint) / 2;
	}

	/** Whether enough crashes to quarantine a fingerprint are known, of which some have not been judged. @param judgedUntil - Time up to which crashes have been. */
	awaitsJudgement(fingerprint: string, judgedUntil: number): boolean {
		const {quarantined} = this.#list;
		const required = this.#requiredCrashesOf(fingerprint);
		return !this.#list.has(fingerprint) && this.#evidence.countCrashes(fingerprint, quarantined) >= required
			&& this.#evidence.countCrashes(fingerprint, quarantined, judgedUntil) < required;
	}

	/** The fingerprint that most tells against, of those whose crashes can't be chance and that no other explains. @param until - Later crashes don't count. */
	mostSuspect(until: number): Verdict | undefined {
		const required = this.requiredCrashes();
		let most: Verdict | undefined;
		for (const fingerprint of this.#evidence.suspects(required).filter(suspect => !this.#list.has(suspect))) {
			const explanations = this.#list.quarantined.filter(other => !this.#displaces(fingerprint, other, required));
			const verdict = {fingerprint, crashes: this.#evidence.countCrashes(fingerprint, explanations, until)};
			if (verdict.crashes >= this.#requiredCrashesOf(fingerprint, required) && (!most || this.#isMoreSuspect(verdict, most))) {
				most = verdict;
			}
		}

		return most;
	}

	/** Quarantined fingerprint that explains the crashes under another one; undefined if there is none or too little is known of them. */
	explanationOf(fingerprint: string): string | undefined {
		const crashes = this.#evidence.countCrashes(fingerprint);
		if (crashes < this.requiredCrashes(minimumCrashRate)) {
			return undefined;
		}

		const required = this.#requiredCrashesOf(fingerprint);
		return this.#list.quarantined.find(other => other !== fingerprint
			&& this.#evidence.countCrashes(fingerprint, [other]) < required
			&& this.#isMoreSuspect({fingerprint: other, crashes: this.#evidence.countCrashes(other)}, {fingerprint, crashes}));
	}

	/** Whether a fingerprint explains the crashes under a quarantined one, and so many more that these can't be chance either. */
	#displaces(fingerprint: string, quarantined: string, required: number): boolean {
		const crashes = this.#evidence.countCrashes(quarantined);
		return crashes > 0 && this.#evidence.countCrashes(fingerprint) >= crashes + (required / 2) && this.#evidence.explains(fingerprint, quarantined);
	}

	/** Whether more tells against one fingerprint than against another: more crashes, or a later position, as fewer requests share later parts, and fewest a whole request with a body. */
	#isMoreSuspect(one: Verdict, other: Verdict): boolean {
		const difference = (one.crashes - other.crashes) || (this.#evidence.position(one.fingerprint) - this.#evidence.position(other.fingerprint));
		return difference === 0 ? one.fingerprint > other.fingerprint : difference > 0;
	}

	#requiredCrashesOf(fingerprint: string, required = this.requiredCrashes()): number {
		return this.#evidence.lastSuccessAt(fingerprint) === undefined ? required : required * provenFactor;
	}
}
