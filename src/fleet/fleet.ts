/**
 * Task that joins this instance with the others: links, membership and what is passed on between instances.
 *
 * Each instance dials a few members that all instances choose alike, so that the links form one connected graph.
 * What is new is passed on over every link but the one that it came by; nothing is repeated while nothing changes.
 *
 * @module
 */
import {createServer, type Server, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {match, P} from 'ts-pattern';
import type {ListedInstance} from '../platform/instance-list.js';
import {ConfigurationSpread} from './configuration-spread.js';
import {Dialer} from './dialer.js';
import {defaultFanOut, type FleetOptions} from './fleet-options.js';
import {Link, type LinkListener} from './link.js';
import {LinkSet} from './link-set.js';
import {LoadBoard, type LoadDigest} from './load-digest.js';
import {Membership, type MembershipEvent} from './membership.js';
import type {MemberClaim, PeerMessage} from './messages.js';
import {chooseNeighbours, rendezvous} from './rendezvous.js';

/** Time in milliseconds between two rounds of checks and flushes. */
const tickInterval = 500;

/** Time in milliseconds without sending after which a heartbeat is sent. */
const heartbeatInterval = 1000;

/** Silence in milliseconds after which a link is left. */
const idleBound = 3500;

/** Delay in milliseconds in which urgent news are gathered into one message. */
const urgentDelay = 20;

/** Silence in milliseconds after which a link is left on which the other end has not said its name. */
const handshakeBound = 1500;

/** A tick later than this, in milliseconds, means that this process was paused. */
const pauseBound = 2500;

/** Greatest number of connections accepted at once. */
const maximumConnections = 1024;

/** Label of a listed instance that gives the address of its links, where it is not the main one. */
export const peersLabel = 'peers';

/** This instance's part in the fleet. */
export class Fleet implements LinkListener {
	readonly loads = new LoadBoard();
	readonly #options: FleetOptions;
	readonly #server: Server;
	readonly #links = new LinkSet();
	readonly #dialer: Dialer;
	readonly #spread: ConfigurationSpread;
	#membership: Membership | undefined;
	#listed = new Map<string, string>();
	#neighbours: readonly string[] = [];
	#liveNames: readonly string[] = [];
	#membersDirty = true;
	#listRevision = 0;
	#tickTimer: NodeJS.Timeout | undefined;
	#urgentTimer: NodeJS.Timeout | undefined;
	#tickedAt = performance.now();
	#isStopped = false;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.#spread = new ConfigurationSpread(options.configuration);
		this.#dialer = new Dialer({
			connected: (socket, name) => {
				this.#adopt(socket, 'dialer', name);
			},
			unreachable: name => {
				this.#apply(this.#membership!.suspect(name, performance.now()), undefined);
			},
		});
		this.#server = createServer(socket => {
			this.#adopt(socket, 'listener');
		});
		this.#server.maxConnections = maximumConnections;
	}

	/**
	 * Opens the port and begins to look for the others.
	 *
	 * @returns the address on which other instances connect, as "IP:port".
	 */
	async start(): Promise<string> {
		const {host, port, name, failureDomain, region, suspicion} = this.#options;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
		const bound = this.#server.address();
		const boundPort = typeof bound === 'object' ? bound?.port : port;
		const address = `${host.includes(':') ? `[${host}]` : host}:${boundPort}`;
		this.#membership = new Membership({
			name, incarnation: Date.now(), address, failureDomain, region,
		}, suspicion);
		this.#tickedAt = performance.now();
		this.#tick();
		return address;
	}

	/** Announces that this instance is leaving; it goes on passing on what others say. */
	leave(): void {
		if (this.#membership) {
			this.#apply(this.#membership.leave(), undefined);
			this.#flushUrgent();
		}
	}

	/** Resolves when the others have read what was sent to them, or have had a second to. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		clearTimeout(this.#tickTimer);
		clearTimeout(this.#urgentTimer);
		this.#server.close();
		this.#dialer.stop();
		await this.#links.endAll('this instance stops');
	}

	/** Live members, this instance included. */
	get live(): readonly MemberClaim[] {
		return this.#membership?.live ?? [];
	}

	/** All members with the state that is believed of them. */
	get members(): readonly MemberClaim[] {
		return this.#membership?.claims ?? [];
	}

	/** Whether any other instance is linked. */
	get isJoined(): boolean {
		return this.#links.open.length > 0;
	}

	/** Number of open links. */
	get linkCount(): number {
		return this.#links.open.length;
	}

	/** Bytes sent and received on links since the start, without the headers of TCP. */
	get bytes(): number {
		return this.#links.bytes;
	}

	/** Takes in the instance list: who might be a member. */
	setListed(instances: readonly ListedInstance[]): void {
		const entries = instances.filter(({kind, state, name}) => kind === 'entry' && state === 'live' && name !== this.#options.name);
		this.#listed = new Map(entries.map(({name, address, labels}) => [name, labels[peersLabel] ?? address]));
		this.#membersDirty = true;
	}

	/** Whether this instance is the one that reads the load of an upstream for all. */
	isWatcher(upstream: string): boolean {
		return rendezvous(upstream, this.#liveNames, 1)[0] === this.#options.name;
	}

	/** Passes on a load that this instance has read itself. */
	publishLoad(load: LoadDigest): void {
		const known = this.loads.get(load.upstream);
		if (this.loads.take(load)) {
			this.#enqueueLoad(load, known, undefined);
		}
	}

	/** Newest revision of the instance list that any instance has told of. */
	get listRevision(): number {
		return this.#listRevision;
	}

	/** Tells the others of a revision of the instance list. */
	announceListRevision(revision: number, from?: Link): void {
		if (revision > this.#listRevision) {
			this.#listRevision = revision;
			for (const link of this.#links.others(from)) {
				link.send({kind: 'list-revision', revision});
			}
		}
	}

	/** Tells the others of a generation that is in force here. */
	announceGeneration(): void {
		this.#spread.announce(this.#links.open);
	}

	opened(link: Link, peer: string): void {
		this.#links.surplus(link, this.#options.name)?.end('not needed');
		this.#dialer.reached(peer);
		for (const claim of this.#membership!.claims) {
			link.enqueueClaim(claim);
		}

		for (const load of this.loads.loads) {
			link.enqueueLoad(load);
		}

		link.flushClaims();
		this.#spread.opened(link);
		this.#options.log.debug('fleet.link-opened', {peer, role: link.role});
	}

	received(link: Link, message: PeerMessage): void {
		if (this.#isStopped) {
			return;
		}

		match(message)
			.with({kind: 'members'}, ({claims}) => {
				for (const claim of claims) {
					this.#apply(this.#membership!.receive(claim, performance.now()), link);
				}
			})
			.with({kind: 'loads'}, ({loads}) => {
				this.#learnLoads(loads, link);
			})
			.with({kind: 'list-revision'}, ({revision}) => {
				if (revision > this.#listRevision) {
					this.announceListRevision(revision, link);
					this.#options.listener.listChanged();
				}
			})
			.with({kind: 'generation'}, {kind: 'configuration-request'}, {kind: 'configuration'}, about => {
				this.#spread.received(link, about, this.#links.open);
			})
			.with({kind: P.union('hello', 'heartbeat')}, () => undefined)
			.exhaustive();
	}

	closed(link: Link, reason: string): void {
		this.#links.remove(link);
		// A frozen process still accepts connections, but does not answer on them.
		if (link.peer === undefined && link.dialed !== undefined && !this.#isStopped) {
			this.#apply(this.#membership!.suspect(link.dialed, performance.now()), undefined);
		}

		if (this.#isStopped || link.peer === undefined || this.#links.to(link.peer) !== undefined || !this.#isWanted(link.peer)) {
			return;
		}

		this.#options.log.info('fleet.link-closed', {peer: link.peer, reason});
		this.#dial(link.peer);
	}

	#learnLoads(loads: readonly LoadDigest[], from: Link): void {
		for (const load of loads) {
			const known = this.loads.get(load.upstream);
			if (this.loads.take(load)) {
				this.#options.listener.loadLearned(load);
				this.#enqueueLoad(load, known, from);
			}
		}
	}

	#enqueueLoad(load: LoadDigest, known: LoadDigest | undefined, from: Link | undefined): void {
		for (const link of this.#links.others(from)) {
			link.enqueueLoad(load);
		}

		// That an upstream is leaving does not wait for the next round.
		if (load.leaving && known?.leaving !== true) {
			for (const link of this.#links.open) {
				link.flushLoads();
			}
		}
	}

	/** Passes on a change of membership and has it logged. */
	#apply(event: MembershipEvent | undefined, from: Link | undefined): void {
		if (!event) {
			return;
		}

		const {claim} = event;
		this.#options.log.info('fleet.member', {
			member: claim.name, from: event.from, to: claim.state, incarnation: claim.incarnation,
		});
		this.#membersDirty = true;
		// A refutation also goes back to where the suspicion came from.
		for (const link of this.#links.others(claim.name === this.#options.name ? undefined : from)) {
			link.enqueueClaim(claim);
		}

		this.#urgentTimer ??= setTimeout(() => {
			this.#flushUrgent();
		}, urgentDelay);
	}

	#flushUrgent(): void {
		clearTimeout(this.#urgentTimer);
		this.#urgentTimer = undefined;
		for (const link of this.#links.open) {
			link.flushClaims();
		}
	}

	#tick(): void {
		const now = performance.now();
		this.#afterPause(now);
		for (const event of this.#membership!.tick(now)) {
			this.#apply(event, undefined);
		}

		this.#checkMembers();
		this.#checkLinks();
		this.#spread.tick(now);
		for (const name of this.#neighbours) {
			if (!this.#links.to(name) && this.#dialer.isDue(name)) {
				this.#dial(name);
			}
		}

		this.#tickTimer = setTimeout(() => {
			this.#tick();
		}, tickInterval);
	}

	/** What was not heard while this process was paused says nothing about the others. */
	#afterPause(now: number): void {
		if (now - this.#tickedAt > pauseBound) {
			this.#options.log.warn('fleet.paused', {milliseconds: Math.round(now - this.#tickedAt)});
			this.#membership!.postpone(now);
			for (const link of this.#links.all) {
				link.forgive();
			}
		}

		this.#tickedAt = now;
	}

	#checkMembers(): void {
		if (!this.#membersDirty) {
			return;
		}

		this.#membersDirty = false;
		const {live} = this.#membership!;
		const before = this.#liveNames.join(' ');
		this.#liveNames = live.map(({name}) => name).toSorted();
		const unknown = [...this.#listed.keys()].filter(name => this.#membership!.claim(name) === undefined);
		// Members that are listed but believed dead are dialed too: a healed cut is found by them.
		const dead = [...this.#listed.keys()].filter(name => this.#membership!.claim(name)?.state === 'dead');
		const {name} = this.#options;
		const chosen = chooseNeighbours(name, [...this.#liveNames, ...unknown], this.#fanOut);
		this.#neighbours = [...chosen, ...rendezvous(name, dead, 1)];
		this.#closeUnneeded();
		if (before !== this.#liveNames.join(' ')) {
			this.#options.listener.membersChanged(live);
		}
	}

	/** Closes links that neither end would choose now. */
	#closeUnneeded(): void {
		for (const link of this.#links.open) {
			const peer = link.peer!;
			if (link.role === 'dialer' && this.#liveNames.includes(peer) && !this.#isWanted(peer)) {
				link.end('not needed');
			}
		}
	}

	/** Whether either end would choose the other now. */
	#isWanted(peer: string): boolean {
		return this.#neighbours.includes(peer) || chooseNeighbours(peer, this.#liveNames, this.#fanOut).includes(this.#options.name);
	}

	get #fanOut(): number {
		return this.#options.fanOut ?? defaultFanOut;
	}

	#checkLinks(): void {
		for (const link of this.#links.all) {
			if (link.silence > (link.peer === undefined ? handshakeBound : idleBound)) {
				link.close('silent');
				continue;
			}

			link.flushLoads();
			if (link.peer !== undefined && link.quiet >= heartbeatInterval - (tickInterval / 2)) {
				link.send({kind: 'heartbeat'});
			}
		}
	}

	#dial(name: string): void {
		const address = this.#membership!.claim(name)?.address ?? this.#listed.get(name);
		if (!this.#isStopped && address !== undefined) {
			this.#dialer.dial(name, address);
		}
	}

	#adopt(socket: Socket, role: 'dialer' | 'listener', dialed?: string): void {
		const {keys, name} = this.#options;
		const {incarnation} = this.#membership!.self;
		this.#links.add(new Link({
			socket, role, keys, name, incarnation, dialed, listener: this,
		}));
	}
}
