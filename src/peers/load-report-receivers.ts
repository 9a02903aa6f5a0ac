/**
 * Chooses which peers receive a report of the loads of this instance's failure domain.
 *
 * @module
 */
import type {DomainLoadReport} from '../placement/domain-loads.js';
import type {Peer} from './peer-membership.js';

/**
 * One live instance of each other failure domain, at random, and none without a report. All instances of a domain report,
 * so that each instance hears about as many reports of every other domain as one instance sends, whatever the size of the
 * fleet.
 */
export function chooseLoadReportReceivers(peers: ReadonlyArray<Pick<Peer, 'ip' | 'relayOffer'>>, report: Pick<DomainLoadReport, 'failureDomain'> | undefined, random: () => number): string[] {
	const domains = new Map<string, string[]>();
	for (const {ip, relayOffer} of peers) {
		if (report && relayOffer && relayOffer.failureDomain !== report.failureDomain) {
			domains.set(relayOffer.failureDomain, [...domains.get(relayOffer.failureDomain) ?? [], ip]);
		}
	}

	return [...domains.values()].map(ips => ips[Math.floor(random() * ips.length)]!);
}
