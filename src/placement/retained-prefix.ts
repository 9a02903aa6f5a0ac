/**
 * Leading parts of prompts that engines hold for requests of this instance which run there now.
 *
 * Load that it answers: prompts that begin with the same parts; an engine that holds them need not prefill them again.
 *
 * @module
 */
import type {EngineProfile, PromptPart} from '../serving/model.js';
import {estimatePrefillTime} from './time-estimates.js';

/** Most requests that are known, and leading parts of each. */
const maximumRequests = 4096;
const maximumParts = 16;

/** Worth of saving a whole prefill without a longer wait: that of the whole span of positions in the order of engines. */
const savedPrefillWorth = 0.2;

/** What one request holds; `prefixes` names each of its leading sequences of parts. */
type RetainingRequest = {engineId: string; prefixes: readonly string[]; isPrefilled: boolean};

/** Prefixes by engine. */
export class RetainedPrefixes {
	readonly #requests = new Map<string, RetainingRequest>();
	/** Number of running requests that hold each prefix, by engine. */
	readonly #counts = new Map<string, Map<string, number>>();

	/** Requests that run or will run with a known prefix. */
	get size(): number {
		return this.#requests.size;
	}

	/** Records that a request with these leading parts is placed at an engine. */
	add(key: string, engineId: string, parts: readonly PromptPart[]): void {
		if (parts.length > 0 && this.#requests.size < maximumRequests && !this.#requests.has(key)) {
			this.#requests.set(key, {engineId, prefixes: prefixesOf(parts), isPrefilled: false});
		}
	}

	/** Records that the request's prompt is prefilled, so that the engine holds its parts. */
	completePrefill(key: string): void {
		const request = this.#requests.get(key);
		if (request && !request.isPrefilled) {
			request.isPrefilled = true;
			this.#count(request, 1);
		}
	}

	/** Records that the request has ended, or was not sent. */
	remove(key: string): void {
		const request = this.#requests.get(key);
		if (request) {
			this.#requests.delete(key);
			if (request.isPrefilled) {
				this.#count(request, -1);
			}
		}
	}

	/** Time in milliseconds of the prefill that a prompt with these leading parts would save at an engine. */
	savedPrefill(engineId: string, parts: readonly PromptPart[], profile: EngineProfile): number {
		const held = this.#counts.get(engineId);
		if (!held || parts.length === 0) {
			return 0;
		}

		let tokens = 0;
		for (const [index, prefix] of prefixesOf(parts).entries()) {
			if (!held.has(prefix)) {
				break;
			}

			tokens += parts[index]!.tokens;
		}

		return estimatePrefillTime(profile, tokens);
	}

	#count({engineId, prefixes}: RetainingRequest, change: number): void {
		const counts = this.#counts.get(engineId) ?? new Map<string, number>();
		for (const prefix of prefixes) {
			const count = (counts.get(prefix) ?? 0) + change;
			if (count > 0) {
				counts.set(prefix, count);
			} else {
				counts.delete(prefix);
			}
		}

		if (counts.size > 0) {
			this.#counts.set(engineId, counts);
		} else {
			this.#counts.delete(engineId);
		}
	}
}

/**
 * Worth of each engine's saving: the share of the prefill that is saved beyond the longer wait there.
 *
 * @param engines - Saved prefill and wait in milliseconds at each one.
 * @param prefillTime - Time in milliseconds of the whole prefill.
 * @returns undefined if no engine saves any.
 */
export function rewardsForSavedPrefill(engines: ReadonlyArray<{savedPrefill: number; wait: number}>, prefillTime: number): number[] | undefined {
	if (engines.every(({savedPrefill}) => savedPrefill === 0)) {
		return undefined;
	}

	const shortestWait = Math.min(...engines.map(({wait}) => wait));
	return engines.map(({savedPrefill, wait}) => savedPrefillWorth * Math.max(0, savedPrefill + shortestWait - wait) / prefillTime);
}

/** A name for each leading sequence of parts, the shortest first; ids hold no commas. */
function prefixesOf(parts: readonly PromptPart[]): string[] {
	let prefix = '';
	return parts.slice(0, maximumParts).map(({id, tokens}) => {
		prefix += `${id}:${tokens},`;
		return prefix;
	});
}
