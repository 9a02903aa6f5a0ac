/**
 * Measures what the others believe of an instance that is frozen for a while.
 *
 * @module
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {sleep} from '../../src/platform/backoff.js';
import {MeasuredFleet, until} from './measure.js';

/** Instances besides the frozen one. */
const others = 8;

/** Times in milliseconds that the instance is frozen. */
const shortFreeze = 5000;
const longFreeze = 12_000;

const frozenName = 'entry-frozen';

/** Figures of a frozen instance; times in milliseconds. */
export type FrozenFigures = {
	/** Instances that believed it dead after the short freeze. */
	deaths_in_short_freeze: number;
	/** Time from the long freeze until all believed it dead. */
	silent_death_ms: number;
	/** Time from the end of the long freeze until all believed it alive. */
	return_ms: number;
};

/** Runs a fleet and freezes a process that belongs to it. */
export async function measureFrozen(): Promise<FrozenFigures> {
	const fleet = new MeasuredFleet(others);
	await fleet.assemble();
	const member = spawn(process.execPath, ['--import', 'tsx', 'bench/fleet/member.ts', frozenName, fleet.nodes[0]!.address], {stdio: ['ignore', 'pipe', 'inherit']});
	try {
		await once(member.stdout, 'data');
		const allBelieve = async (state: string) => {
			const startedAt = performance.now();
			await until(() => fleet.nodes.every(node => node.stateOf(frozenName) === state));
			return performance.now() - startedAt;
		};

		await allBelieve('alive');
		member.kill('SIGSTOP');
		await sleep(shortFreeze);
		const deaths = fleet.nodes.filter(node => node.stateOf(frozenName) === 'dead').length;
		member.kill('SIGCONT');
		await allBelieve('alive');
		member.kill('SIGSTOP');
		const [silentDeath] = await Promise.all([allBelieve('dead'), sleep(longFreeze)]);
		member.kill('SIGCONT');
		return {deaths_in_short_freeze: deaths, silent_death_ms: silentDeath, return_ms: await allBelieve('alive')};
	} finally {
		member.kill('SIGKILL');
		await fleet.stop();
	}
}
