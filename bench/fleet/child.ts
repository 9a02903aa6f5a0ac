/**
 * Process that takes one measurement and prints its figures as a line of JSON.
 *
 * @module
 */
import process from 'node:process';
import {measureFrozen} from './frozen.js';
import {MeasuredFleet} from './measure.js';
import {measureClients, measureWire} from './wire-cost.js';

/** Engines of the two-year size. */
const targetEngines = 600;

const [what = '', address = ''] = process.argv.slice(2);

async function measure(): Promise<unknown> {
	if (what === 'wire') {
		return measureWire(address);
	}

	if (what === 'clients') {
		return measureClients(address);
	}

	if (what === 'steady') {
		return new MeasuredFleet(Number(address), targetEngines).measureSteady();
	}

	return what === 'frozen' ? measureFrozen() : new MeasuredFleet(Number(what)).measure();
}

console.log(JSON.stringify(await measure()));
process.exit(0); // eslint-disable-line unicorn/no-process-exit
