/**
 * Workload files of the bench.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {parse} from 'ini';
import {z} from 'zod';
import type {EngineParameters} from '../../src/stand-in/engine/engine-parameters.js';

const names = z.string().transform(text => text.split(',').map(name => name.trim()));
const number = z.coerce.number();

const classSection = z.object({
	share: number,
	length: z.enum(['log-uniform', 'pareto']),
	minimum_tokens: number,
	maximum_tokens: number,
	minimum_answer: number,
	maximum_answer: number,
	answer_limit: number,
	priority: number,
	deadline_s: number,
	prefix_groups: number.default(0),
	prefix_tokens: number.default(0),
	divisible: z.union([z.boolean(), z.stringbool()]).default(false),
	message_tokens: number.default(0),
});

const workloadFile = z.object({
	workload: z.object({
		name: z.string(), duration_s: number, warmup_s: number, bytes_per_token: number, bytes_per_token_spread: number,
		/** Whether all policies run or, on large fleets, a few. */
		policies: z.enum(['all', 'few']).default('all'),
	}),
	instances: z.object({
		count: number, domains: names, latency_ms: number, client_latency_ms: number, digest_interval_ms: number,
	}),
	engines: z.object({
		count: number,
		domains: names,
		block_tokens: number,
		blocks: number,
		prefix_cache_blocks: number,
		chunk_tokens: number,
		maximum_batch: number,
		step_base_ms: number,
		prefill_ms_per_token: number,
		prefill_ms_per_token_and_1000_context: number,
		decode_ms_per_1000_context: number,
		report_interval_ms: number,
		report_lag_ms: number,
		cache_event_interval_ms: number,
		cache_event_loss: number,
	}),
	class: z.record(z.string(), classSection),
	customers: z.record(z.string(), z.string().transform(text => {
		const [weight, share] = text.split(',').map(Number);
		return {weight: weight ?? 1, share: share ?? 0};
	})),
	degraded: z.object({
		dead_engines: number, dies_at_s: number, detected_after_s: number, report_lag_ms: number, cache_event_loss: number,
	}),
});

/** Requests of one class in a workload. */
export type WorkloadClass = z.infer<typeof classSection>;

/** A workload as its file gives it. */
export type Workload = z.infer<typeof workloadFile>;

/** How an engine handles prefill. */
export type EngineKind = 'interleaving' | 'non-preemptive';

/** Reads a workload file. */
export function readWorkload(path: string): Workload {
	return workloadFile.parse(parse(readFileSync(path, 'utf8')));
}

/** Parameters of the modelled engines. */
export function engineParameters({engines}: Workload, kind: EngineKind): EngineParameters {
	return {
		blocks: engines.blocks,
		blockTokens: engines.block_tokens,
		chunkTokens: engines.chunk_tokens,
		chunkedPrefill: kind === 'interleaving',
		maximumBatch: engines.maximum_batch,
		stepBase: engines.step_base_ms,
		prefillPerToken: engines.prefill_ms_per_token,
		prefillPerTokenContext: engines.prefill_ms_per_token_and_1000_context,
		decodeReadPerThousandTokens: engines.decode_ms_per_1000_context,
		prefixCacheBlocks: engines.prefix_cache_blocks,
	};
}
