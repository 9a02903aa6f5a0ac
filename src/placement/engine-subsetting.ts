/**
 * Deterministic subsetting: which engines each instance places prompts on, and which instances hear of what is placed on
 * an engine.
 *
 * Instances and engines are spread evenly over one ring, each in the order of its hash. An instance uses the engines
 * within a window around its own position, and an engine's placements are reported to the instances whose windows hold
 * it. Windows of neighbours overlap, so that load spreads along the ring, and shift only slightly when members come and
 * go. In small fleets the window is the whole ring.
 *
 * A failure domain that has enough engines to split a long prefill has a ring of its own: its instances place prompts on
 * its engines and hear of these alone, so that news of placements does not cross domains. Instances of other domains, and
 * all instances for engines of a domain that has no instance left, use the ring of the whole fleet.
 *
 * @module
 */
import type {EngineRecord} from '../serving/model.js';
import {hashPosition} from './hash-position.js';
import type {Placement} from './load-tracker.js';
import type {EngineSource} from './engine-source.js';

/** Least number of engines that an instance places prompts on; a prompt's prefill is split between up to 17 of them. */
const enginesPerInstance = 32;

/** Least number of instances that place prompts on one engine; each of them costs a datagram for each placement, and the more there are, the more evenly engines fill. */
const instancesPerEngine = 56;

/** Least number of ready engines with which a failure domain has a ring of its own: with fewer, a long prefill that its own engines split takes much longer. */
export const minimumDomainEngines = 12;

/** Largest fleet in which all instances hear of requests without a prompt; beyond it, each one learns too little of them to choose by. */
const maximumFleetWithServiceNews = 32;

/** Positions, in instances, by which a receiver's view of the ring may differ from the sender's. */
const ringTolerance = 2;

/** Members of the fleet as one instance sees them. */
export type RingMembers = {
	/** IP address of this instance. */
	ownIp: string;
	/** IP addresses of the live instances, this one included, in the order of the ring; a new list after each change. */
	instances: () => readonly string[];
	/** Failure domain of an instance; undefined where it is not known. By default none is known. */
	failureDomainOf?: (ip: string) => string | undefined;
	engines: EngineSource;
};

/** Orders members of the ring by the hash of their keys, independently of the order in which engines are filled. */
export function sortOnRing(members: readonly string[]): string[] {
	const positions = new Map(members.map(member => [member, hashPosition(`ring ${member}`)]));
	return members.toSorted((one, other) => positions.get(one)! - positions.get(other)!);
}

/** Engines and instances spread over a ring, with the window that each instance has there. */
class Ring {
	readonly #enginePositions: ReadonlyMap<string, number>;
	readonly #instancePositions: ReadonlyMap<string, number>;
	readonly #windowRadius: number;
	readonly #tolerance: number;

	/** @param instances - In the order of the ring. */
	constructor(engines: readonly EngineRecord[], instances: readonly string[]) {
		const ordered = sortOnRing(engines.map(({id}) => id));
		this.#enginePositions = new Map(ordered.map((id, index) => [id, (index + 0.5) / ordered.length]));
		this.#instancePositions = new Map(instances.map((ip, index) => [ip, (index + 0.5) / instances.length]));
		this.#windowRadius = Math.max(enginesPerInstance / engines.length, instancesPerEngine / instances.length) / 2;
		this.#tolerance = ringTolerance / instances.length;
	}

	get instanceCount(): number {
		return this.#instancePositions.size;
	}

	/** Whether an engine lies in the window of an instance. @param isTolerant - Whether in a slightly wider one, as the views of two instances may differ. */
	isInWindow(ip: string, engineId: string, isTolerant: boolean): boolean {
		const radius = this.#windowRadius + (isTolerant ? this.#tolerance : 0);
		if (radius >= 0.5) {
			return true;
		}

		const enginePosition = this.#enginePositions.get(engineId);
		return enginePosition !== undefined && ringDistance(this.#instancePositions.get(ip) ?? 0, enginePosition) <= radius;
	}
}

/** Rings of one service. */
type ServiceRings = {
	ready: readonly EngineRecord[];
	instances: readonly string[];
	engineDomains: ReadonlyMap<string, string>;
	fleet: Ring;
	/** Rings of the failure domains that have enough engines, and instances. */
	domains: ReadonlyMap<string, Ring>;
	subset: readonly EngineRecord[];
	subscribers: Map<string, readonly string[]>;
	users: Map<string, readonly string[]>;
};

/** Subsets of one instance. */
export class EngineSubsetting {
	readonly #members: RingMembers;
	readonly #rings = new Map<string, ServiceRings>();

	constructor(members: RingMembers) {
		this.#members = members;
	}

	/** Ready engines that this instance places prompts on. */
	subset(service: string): readonly EngineRecord[] {
		return this.#ringsOf(service).subset;
	}

	/** Failure domain whose engines alone this instance places prompts on; undefined where it uses those of any. */
	ownDomain(service: string): string | undefined {
		return this.#ownDomainOf(this.#members.ownIp, this.#ringsOf(service).domains);
	}

	/** Number of instances that place prompts on the engines of this instance's failure domain alone; 0 where it uses those of any. */
	ownDomainInstanceCount(service: string): number {
		const ownDomain = this.ownDomain(service);
		return ownDomain === undefined ? 0 : this.#ringsOf(service).domains.get(ownDomain)!.instanceCount;
	}

	/** Failure domains with a ring of their own, without this instance's. */
	otherDomains(service: string): readonly string[] {
		const ownDomain = this.ownDomain(service);
		return [...this.#ringsOf(service).domains.keys()].filter(domain => domain !== ownDomain);
	}

	/** Other instances that are told of what is placed on engines; the same list for the same engine until the rings change. */
	subscribers(engineIds: readonly string[]): readonly string[] {
		const lists = engineIds.map(id => this.#subscribersOf(id));
		return lists.length === 1 ? lists[0]! : this.#merge(lists);
	}

	/** Instances that place prompts on an engine, this one included if it does; the same list at all instances with the same view of the rings, until they change. */
	users(engineId: string): readonly string[] {
		const rings = this.#ringsOf(this.#members.engines.get(engineId)?.service ?? '');
		let result = rings.users.get(engineId);
		if (!result) {
			result = rings.engineDomains.has(engineId) ? rings.instances.filter(ip => this.#isUser(rings, ip, engineId, false)) : [];
			rings.users.set(engineId, result);
		}

		return result;
	}

	/** Other instances that are told of a placement: those that use its engines; of a request without a prompt all or, in large fleets, none. */
	subscribersOf({assignments}: Placement): readonly string[] {
		if (assignments.some(({prefillTime}) => prefillTime > 0)) {
			return this.subscribers(assignments.map(({engineId}) => engineId));
		}

		return this.#members.instances().length > maximumFleetWithServiceNews ? [] : this.subscribers(assignments.map(({engineId}) => engineId));
	}

	/** All instances of several lists, each once. The lists of engines that are used by the same instances are equal, and one of them is returned. */
	#merge(lists: ReadonlyArray<readonly string[]>): readonly string[] {
		const [first = []] = lists;
		return lists.every(list => list === first) ? first : [...new Set(lists.flat())];
	}

	#ringsOf(service: string): ServiceRings {
		const ready = this.#members.engines.ready(service);
		const instances = this.#members.instances();
		const known = this.#rings.get(service);
		if (known?.ready === ready && known.instances === instances) {
			return known;
		}

		const rings = this.#createRings(ready, instances);
		this.#rings.set(service, rings);
		return rings;
	}

	#createRings(ready: readonly EngineRecord[], instances: readonly string[]): ServiceRings {
		const {failureDomainOf, ownIp} = this.#members;
		const domains = new Map<string, Ring>();
		for (const domain of new Set(ready.map(({failureDomain}) => failureDomain))) {
			const engines = ready.filter(({failureDomain}) => failureDomain === domain);
			const members = instances.filter(ip => failureDomainOf?.(ip) === domain);
			if (engines.length >= minimumDomainEngines && members.length > 0) {
				domains.set(domain, new Ring(engines, members));
			}
		}

		const rings: ServiceRings = {
			ready, instances, engineDomains: new Map(ready.map(({id, failureDomain}) => [id, failureDomain])), fleet: new Ring(ready, instances), domains, subset: [],
			subscribers: new Map(), users: new Map(),
		};
		const subset = ready.filter(({id}) => this.#isUser(rings, ownIp, id, false));
		return {...rings, subset: subset.length === ready.length ? ready : subset};
	}

	#ownDomainOf(ip: string, domains: ReadonlyMap<string, Ring>): string | undefined {
		const domain = this.#members.failureDomainOf?.(ip);
		return domain !== undefined && domains.has(domain) ? domain : undefined;
	}

	#isUser({engineDomains, domains, fleet}: ServiceRings, ip: string, engineId: string, isTolerant: boolean): boolean {
		const engineDomain = engineDomains.get(engineId) ?? '';
		const ownDomain = this.#ownDomainOf(ip, domains);
		const ring = domains.get(engineDomain);
		if (ownDomain === undefined || !ring) {
			return fleet.isInWindow(ip, engineId, isTolerant);
		}

		return ownDomain === engineDomain && ring.isInWindow(ip, engineId, isTolerant);
	}

	#subscribersOf(engineId: string): readonly string[] {
		const rings = this.#ringsOf(this.#members.engines.get(engineId)?.service ?? '');
		let result = rings.subscribers.get(engineId);
		if (!result) {
			const found = rings.instances.filter(ip => ip !== this.#members.ownIp && this.#isUser(rings, ip, engineId, true));
			// Reports for the same instances travel in one datagram if their lists are the same.
			result = [...rings.subscribers.values()].find(list => list.length === found.length && list.every((ip, index) => ip === found[index])) ?? found;
			rings.subscribers.set(engineId, result);
		}

		return result;
	}
}

/** Distance between two positions on the ring, from 0 to 0.5. */
function ringDistance(one: number, other: number): number {
	const distance = Math.abs(one - other);
	return Math.min(distance, 1 - distance);
}
