/**
 * Estimates how much slower than published each engine is, from the events of its streams and the load known there.
 *
 * Load that it answers: engines that become several times slower for some seconds, among engines that are merely full or
 * prefill beside. All times are monotonic, in milliseconds.
 *
 * @module
 */
import type {EngineProfile} from '../serving/model.js';
import type {EventLog} from '../telemetry/log.js';
import type {EngineActivity} from './load-tracker.js';
import {estimateIterationTime} from './time-estimates.js';

/** Factor below which an engine counts as normal. */
const slowThreshold = 1.5;

/** Greatest ratio of the bounds of a factor at which they tell it exactly enough. */
const preciseRatio = 1.5;

/** Number of samples that are kept, and how many of them have to agree. */
const keptSampleCount = 5;
const agreeingSampleCount = 3;

/** Time for which a sample counts. */
const sampleLifetime = 3000;

/** Time within which samples are one: the streams of an engine, and events that arrive in a bunch, see the same delay. */
const sampleSpacing = 30;

/** Time for which a factor holds without evidence, and in which its excess over 1 halves afterwards. */
const holdTime = 1000;
const decayHalfLife = 1500;

/** Share of the way to a lower factor that one sample goes, so that a slow engine is not filled at once when it recovers. */
const recoveryStep = 0.5;

/** Share of a known factor from which a sample confirms it. */
const confirmingShare = 0.75;

/** Largest factor; a connection that is stuck for seconds must not exclude an engine. */
const maximumFactor = 10;

/** Smallest changes that are reported, absolute and relative to the factor. */
const reportedChange = 0.3;
const reportedChangeShare = 0.25;

/** Shares of an engine's slots and KV cache from which it is nearly full; some engines slow down then. */
const nearlyFullShare = 0.85;

/** Time that connecting, transit and their variation may take. */
const transitMargin = 10;

/** Share of the KV cache placed at an engine that surely is context: the rest may be prompts not prefilled and answers not decoded. */
const surelyUsedShare = 0.5;

/** Iterations that a prefilled prompt waits for at most: the one under way and its own. */
const maximumIterationsToFirstEvent = 2;

/** Events after which a span that tells nothing is dropped, as its load has changed too much. */
const maximumSpanEvents = 16;

/** Range of an engine's factor that explains an observation. */
export type FactorBounds = {low: number; high: number; isNearlyFull: boolean};

/** A known factor, decayed to a moment. */
type Estimate = {factor: number; observedAt: number};

type EngineSamples = {estimate: Estimate; known: Estimate; samples: Array<{value: number; at: number}>};

/** Engines' factors on their published times. */
export class EngineSpeed {
	readonly #engines = new Map<string, EngineSamples>();

	/** Factor on the published times, at least 1. */
	factor(engineId: string, now: number): number {
		const engine = this.#engines.get(engineId);
		return engine ? decayed(engine.estimate, now) : 1;
	}

	/** Number of engines that are slow now. */
	slowCount(now: number): number {
		return [...this.#engines.values()].filter(({estimate}) => decayed(estimate, now) >= slowThreshold).length;
	}

	/** Records the bounds that an observation gives. @returns whether they told anything. */
	record(engineId: string, {low, high, isNearlyFull}: FactorBounds, now: number): boolean {
		const current = this.factor(engineId, now);
		const least = isNearlyFull ? Math.min(low, current) : low;
		if (!(high < slowThreshold || least >= slowThreshold || high <= least * preciseRatio)) {
			return false;
		}

		const value = least <= 1 ? 1 : Math.min(maximumFactor, Math.max(1, Math.min(high, Math.max(least, current))));
		const engine = this.#engine(engineId);
		this.#addSample(engine, value, now);
		const agreed = engine.samples.map(sample => sample.value).toSorted((one, other) => other - one)[agreeingSampleCount - 1];
		if (agreed !== undefined && agreed >= current) {
			engine.estimate = {factor: agreed, observedAt: now};
		} else if (agreed !== undefined) {
			engine.estimate = {factor: current + ((agreed - current) * recoveryStep), observedAt: now};
		} else if (value >= current * confirmingShare && current > 1) {
			engine.estimate = {factor: current, observedAt: now};
		}

		return true;
	}

	/** Records the factor that a peer reports, unless this instance has later evidence. @returns whether it counts. */
	recordReport(engineId: string, {slowdown, observedAt}: {slowdown: number; observedAt: number}, now: number): boolean {
		const report = {factor: Math.min(maximumFactor, Math.max(1, slowdown)), observedAt: Math.min(now, observedAt)};
		if (!Number.isFinite(report.factor) || now - report.observedAt > sampleLifetime) {
			return false;
		}

		const engine = this.#engine(engineId);
		engine.known = report;
		const hasOwnEvidence = engine.samples.length >= agreeingSampleCount && now - engine.samples.at(-1)!.at <= holdTime;
		if (hasOwnEvidence || report.observedAt < engine.estimate.observedAt) {
			return false;
		}

		engine.estimate = report;
		return true;
	}

	/** The factor to report, if peers do not know it well enough; they are taken to know it then. */
	takeReport(engineId: string, now: number): number | undefined {
		const engine = this.#engines.get(engineId);
		if (!engine) {
			return undefined;
		}

		const factor = decayed(engine.estimate, now);
		if (Math.abs(factor - decayed(engine.known, now)) < Math.max(reportedChange, factor * reportedChangeShare)) {
			return undefined;
		}

		engine.known = {factor, observedAt: now};
		return factor;
	}

	/** Forgets an engine that is gone or has restarted. */
	reset(engineId: string): void {
		this.#engines.delete(engineId);
	}

	#addSample({samples}: EngineSamples, value: number, now: number): void {
		const last = samples.at(-1);
		if (last && now - last.at < sampleSpacing) {
			last.value = Math.min(last.value, value);
			return;
		}

		samples.push({value, at: now});
		while (samples.length > keptSampleCount || now - samples[0]!.at > sampleLifetime) {
			samples.shift();
		}
	}

	#engine(engineId: string): EngineSamples {
		let engine = this.#engines.get(engineId);
		if (!engine) {
			const normal = {factor: 1, observedAt: Number.NEGATIVE_INFINITY};
			engine = {estimate: normal, known: normal, samples: []};
			this.#engines.set(engineId, engine);
		}

		return engine;
	}
}

/** Writes that an engine has become slow or is no longer; a factor that has decayed without evidence meanwhile is not written. */
export function logSpeed(log: EventLog, {engineId, origin, before, factor}: {engineId: string; origin: string; before: number; factor: number}): void {
	if ((before >= slowThreshold) !== (factor >= slowThreshold)) {
		log.info(factor >= slowThreshold ? 'engine.slow' : 'engine.normal', {engine: engineId, origin, factor: factor.toFixed(1)});
	}
}

function decayed({factor, observedAt}: Estimate, now: number): number {
	const idle = now - observedAt - holdTime;
	return idle <= 0 ? factor : 1 + ((factor - 1) * (0.5 ** (idle / decayHalfLife)));
}

/** What a stream's engine is to do for it. */
export type ObservedPrompt = {
	profile: EngineProfile;
	promptTokens: number;
	/** Time that the engine prefills for it. */
	prefillTime: number;
	/** Whether other engines prefill parts of it, whose delay is not this engine's. */
	hasHelpers: boolean;
};

/** An event of a stream: the time since the one before or since the start, the load known now, and a clock of the reader's active time. */
export type ObservedEvent = {gap: number; activity: EngineActivity; activeTime: number};

/** Bounds an engine's factor by the events of one stream. */
export class StreamObserver {
	readonly #prompt: ObservedPrompt;
	#isFirst = true;
	readonly #isStartKnown: boolean;
	#events = 0;
	#elapsed = 0;
	#start: Omit<ObservedEvent, 'gap'>;
	#least: Pick<EngineActivity, 'running' | 'kvCacheTokens'>;
	#most: Pick<EngineActivity, 'running' | 'kvCacheTokens'>;

	/** @param start - When the request is sent, its own placement included. */
	constructor(prompt: ObservedPrompt, start: Omit<ObservedEvent, 'gap'>) {
		this.#prompt = prompt;
		this.#start = start;
		this.#least = start.activity;
		this.#most = start.activity;
		// A request that waits for a slot is late by the answers of others.
		this.#isStartKnown = !prompt.hasHelpers && start.activity.running <= prompt.profile.slots;
	}

	/** @param judge - Takes bounds and returns whether they tell anything; those of a longer span follow if they do not. */
	record({gap, activity, activeTime}: ObservedEvent, judge: (bounds: FactorBounds) => boolean): void {
		this.#elapsed += gap;
		this.#events += 1;
		this.#least = {running: Math.min(this.#least.running, activity.running), kvCacheTokens: Math.min(this.#least.kvCacheTokens, activity.kvCacheTokens)};
		this.#most = {running: Math.max(this.#most.running, activity.running), kvCacheTokens: Math.max(this.#most.kvCacheTokens, activity.kvCacheTokens)};
		const isJudged = this.#isFirst && !this.#isStartKnown ? true : judge(this.#bounds(activity, activeTime));
		if (this.#isFirst || isJudged || this.#events >= maximumSpanEvents) {
			this.#isFirst = false;
			this.#events = 0;
			this.#elapsed = 0;
			this.#start = {activity, activeTime};
			this.#least = activity;
			this.#most = activity;
		}
	}

	#bounds(activity: EngineActivity, activeTime: number): FactorBounds {
		const {profile, promptTokens, prefillTime} = this.#prompt;
		const running = Math.min(profile.slots, this.#most.running);
		const longestIteration = estimateIterationTime(profile, Math.max(1, running), Math.max(promptTokens, Math.min(profile.kvCacheTokens, this.#most.kvCacheTokens)));
		const shortestIteration = estimateIterationTime(profile, Math.max(1, Math.min(profile.slots, this.#least.running)), Math.max(promptTokens, surelyUsedShare * this.#least.kvCacheTokens));
		const prefill = this.#start.activity.unfinishedPrefill + activity.placedPrefill - this.#start.activity.placedPrefill;
		const longest = prefill + ((this.#isFirst ? maximumIterationsToFirstEvent : this.#events) * longestIteration);
		const shortest = this.#isFirst ? Math.max(1, prefillTime) : this.#events * shortestIteration;
		return {
			low: Math.max(0, this.#elapsed - (activeTime - this.#start.activeTime) - transitMargin) / longest,
			high: this.#elapsed / shortest,
			isNearlyFull: this.#most.running >= nearlyFullShare * profile.slots || this.#most.kvCacheTokens >= nearlyFullShare * profile.kvCacheTokens,
		};
	}
}
