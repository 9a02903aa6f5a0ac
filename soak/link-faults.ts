/**
 * Faults of the links between instances, engines and the store that last a while.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {LinkFault, Proxy, SourceCut} from './proxy.js';

/** Strikes one link. @param duration - In milliseconds. */
export async function strikeLink(link: Proxy, fault: LinkFault, duration: number): Promise<void> {
	link.strike(fault);
	await sleep(duration);
	link.strike('none');
}

/** Cuts the connections that come from addresses off at all links. @param duration - In milliseconds. */
export async function cutSources(links: readonly Proxy[], addresses: readonly string[], cut: SourceCut, duration: number): Promise<void> {
	const eachLink = (action: (link: Proxy, address: string) => void) => {
		for (const link of links) {
			for (const address of addresses) {
				action(link, address);
			}
		}
	};

	eachLink((link, address) => {
		link.cutSource(address, cut);
	});
	await sleep(duration);
	eachLink((link, address) => {
		link.healSource(address);
	});
}
