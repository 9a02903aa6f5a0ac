/**
 * Figures of a run.
 *
 * @module
 */
import {fairSharePerWeight} from '../../src/customer/fair-share.js';
import type {Outcome} from './simulation.js';
import type {TraceRequest} from './trace.js';
import type {Workload} from './workload.js';

/** Bands of prompt lengths in tokens, from the lower bound up to the next one. */
const bands = {
	'1k-4k': [0, 4000], '4k-32k': [4000, 32_000], '32k-128k': [32_000, 128_000], 'over-128k': [128_000, Number.POSITIVE_INFINITY],
} as const;

/** Name of a band. */
export type Band = keyof typeof bands;

/** Percentiles of the time to first token in seconds; absent where no request of the band had one. */
export type BandFigures = {count: number; ttft_p50_s: number | undefined; ttft_p95_s: number | undefined; ttft_p99_s: number | undefined};

/** Figures of one run of one policy. */
export type RunFigures = {
	bands: Record<Band, BandFigures>;
	/** Share of requests that ended within their deadline. */
	goodput: number;
	/** Refusals by error number. */
	refused: Record<string, number>;
	/** Longest time in milliseconds from arrival to refusal. */
	slowest_refusal_ms: number;
	/** Admitted requests that missed their deadline. */
	missed: number;
	/** Requests without any outcome. */
	lost: number;
	/** Share of the tokens of prompts over 128k that ended within their deadlines. */
	long_progress: number;
	divided: number;
	/** Refusals, other than 3003, of customers that asked for less than their fair share. */
	refused_under_share: number;
};

/** Whether a request is short as the bench counts it. */
export function isShort({promptTokens}: TraceRequest): boolean {
	return promptTokens < bands['1k-4k'][1];
}

/** Figures of the requests that arrived after the warm-up. */
export function runFigures(workload: Workload, trace: readonly TraceRequest[], outcomes: readonly Outcome[]): RunFigures {
	const start = workload.workload.warmup_s * 1000;
	const counted = outcomes.filter(({request}) => request.at >= start);
	const refused: Record<string, number> = {};
	let slowestRefusal = 0;
	for (const {refused: code, refusedAfter} of counted) {
		if (code !== undefined) {
			refused[code] = (refused[code] ?? 0) + 1;
			slowestRefusal = Math.max(slowestRefusal, refusedAfter ?? 0);
		}
	}

	const long = counted.filter(({request}) => request.promptTokens >= bands['over-128k'][0]);
	const tokens = (list: readonly Outcome[]) => list.reduce((sum, {request}) => sum + request.promptTokens, 0);
	return {
		bands: {
			'1k-4k': bandFigures(counted, '1k-4k'),
			'4k-32k': bandFigures(counted, '4k-32k'),
			'32k-128k': bandFigures(counted, '32k-128k'),
			'over-128k': bandFigures(counted, 'over-128k'),
		},
		goodput: round(counted.filter(({inTime}) => inTime).length / Math.max(1, counted.length)),
		refused,
		slowest_refusal_ms: round(slowestRefusal),
		missed: counted.filter(({missed}) => missed).length,
		lost: trace.length - outcomes.length,
		long_progress: round(tokens(long.filter(({inTime}) => inTime)) / Math.max(1, tokens(long))),
		divided: counted.filter(({divided}) => divided).length,
		refused_under_share: refusedUnderShare(workload, counted),
	};
}

/** P95 of the time to first token of short requests in seconds. */
export function shortP95({bands: {'1k-4k': short}}: RunFigures): number {
	return short.ttft_p95_s ?? Number.POSITIVE_INFINITY;
}

function bandFigures(all: readonly Outcome[], band: Band): BandFigures {
	const [low, high] = bands[band];
	const outcomes = all.filter(({request: {promptTokens}}) => promptTokens >= low && promptTokens < high);
	const times = outcomes.flatMap(({firstToken}) => firstToken ?? []).toSorted((left, right) => left - right);
	const at = (share: number) => times.length === 0 ? undefined : round(times[Math.min(times.length - 1, Math.floor(share * times.length))]! / 1000);
	return {
		count: outcomes.length, ttft_p50_s: at(0.5), ttft_p95_s: at(0.95), ttft_p99_s: at(0.99),
	};
}

function refusedUnderShare(workload: Workload, outcomes: readonly Outcome[]): number {
	const customers = Object.entries(workload.customers).map(([name, {weight}]) => {
		const own = outcomes.filter(({request}) => request.customer === name);
		const work = (list: readonly Outcome[]) => list.reduce((sum, {request}) => sum + request.promptTokens, 0);
		return {
			weight, asked: work(own), served: work(own.filter(({inTime}) => inTime)), refused: own.filter(({refused}) => refused !== undefined && refused !== '3003').length,
		};
	});
	const level = fairSharePerWeight(customers);
	return customers.reduce((sum, {asked, weight, refused}) => sum + (asked < weight * level ? refused : 0), 0);
}

function round(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}
