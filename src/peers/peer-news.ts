/**
 * Tells the other instances what this one does, and takes in what they tell.
 *
 * The task owns its socket. Placements go out at once, everything else is gathered for a moment. Each message counts as
 * a heartbeat.
 *
 * @module
 */
import dgram from 'node:dgram';
import {performance} from 'node:perf_hooks';
import {errorMessage} from '../errors/errors.js';
import type {EngineHealth} from '../placement/engine-health.js';
import type {LoadTracker, Placement} from '../placement/load-tracker.js';
import type {PlacementListener} from '../placement/placement-coordinator.js';
import type {EventLog} from '../telemetry/log.js';
import type {DutyPeer} from '../watch/store-duty.js';
import type {TableDelta} from '../watch/table-copy.js';
import type {SpreadNews} from '../watch/table-spread.js';
import type {TableNumber} from './table-exchange.js';
import {decodeNews, encodeNews, type News} from './news.js';

/** Times in milliseconds for which placements and all other news are gathered. */
const placementGather = 1;
const otherGather = 60;

/** Time in milliseconds between two heartbeats. */
const heartbeatInterval = 500;

/** Peers that one heartbeat goes to. */
const heartbeatPeers = 6;

/** Heartbeats without any message after which a peer's work is forgotten, and after which the peer is. */
const silentHeartbeats = 4;
const goneHeartbeats = 15;

/** Most peers named in an answer; 350 instances are named within one datagram of 6 KB. */
const namedPeers = 400;

/** Heartbeats between two questions to some peer for the names of all others, which heal a fleet that began in parts. */
const namesInterval = 20;

/** Greatest size in bytes of rows in one message; larger changes are fetched. */
const maximumDelta = 8192;

/** Most placements in one message to a new peer; with their parts they stay well within a datagram. */
const placementsPerIntroduction = 100;

/** What the task works with. */
export type PeerNewsOptions = {
	ip: string;
	/** Port of all instances. */
	port: number;
	/** Name and start of this instance. */
	origin: string;
	book: LoadTracker;
	reputation: EngineHealth;
	log: EventLog;
	/** What goes with each message. */
	spread: () => Omit<SpreadNews, 'deltas'>;
	/** Told of what each message says of tables. */
	onSpread: (ip: string, spread: SpreadNews) => void;
};

type Peer = DutyPeer & {
	origin: string;
	isSilent: boolean;
};

/** News between this instance and the others. */
export class PeerNews implements PlacementListener {
	readonly #options: PeerNewsOptions;
	readonly #socket = dgram.createSocket('udp4');
	readonly #peers = new Map<string, Peer>();
	/** Addresses that have not answered yet, with the number of times that they were asked. */
	readonly #asked = new Map<string, number>();
	#placed: Placement[] = [];
	#began: string[] = [];
	#ended: string[] = [];
	#avoided: Array<{engineId: string; duration: number}> = [];
	#paced: Array<{engineId: string; pace: number}> = [];
	#timer: NodeJS.Timeout | undefined;
	#isUrgent = false;
	#heartbeat: NodeJS.Timeout | undefined;
	#next = 0;
	#beats = 0;

	constructor(options: PeerNewsOptions) {
		this.#options = options;
	}

	/** Peers heard of lately. */
	get size(): number {
		return this.#peers.size;
	}

	/** Peers that are not silent. */
	get alive(): DutyPeer[] {
		return [...this.#peers.values()].filter(({isSilent}) => !isSilent);
	}

	async start(): Promise<void> {
		const {ip, port, log} = this.#options;
		this.#socket.on('message', (bytes, {address}) => {
			this.#receive(bytes, address);
		});
		this.#socket.on('error', error => {
			log.error('peers.socket-failed', {reason: error.message});
		});
		await new Promise<void>(resolve => {
			this.#socket.bind(port, ip, resolve);
		});
		this.#heartbeat = setInterval(() => {
			this.#beat();
		}, heartbeatInterval);
	}

	close(): void {
		clearInterval(this.#heartbeat);
		clearTimeout(this.#timer);
		this.#socket.close();
	}

	/** Asks other instances for an answer, so that both know each other. */
	ask(addresses: readonly string[], question: 'answer' | 'names' = 'names'): void {
		for (const address of addresses) {
			if (address !== this.#options.ip && !this.#peers.has(address) && !this.#asked.has(address)) {
				this.#asked.set(address, 1);
				this.#sendTo([address], {asks: question});
			}
		}
	}

	/** Tells all peers at once of changes that this instance learned from the store. */
	changed(table: TableNumber, delta: TableDelta): void {
		const size = delta.rows.reduce((sum, {key, value}) => sum + key.length + (value?.length ?? 0), 0);
		this.#sendTo([...this.#peers.keys()], {}, size <= maximumDelta ? [{...delta, table}] : []);
	}

	placed(placement: Placement): void {
		this.#placed.push(placement);
		this.#plan(true);
	}

	prefillCompleted(key: string): void {
		this.#began.push(key);
		this.#plan(false);
	}

	ended(key: string): void {
		this.#ended.push(key);
		this.#plan(false);
	}

	cooldownStarted(engineId: string, duration: number): void {
		this.#avoided.push({engineId, duration});
		this.#plan(true);
	}

	slowdownChanged(engineId: string, pace: number): void {
		this.#paced.push({engineId, pace});
		this.#plan(false);
	}

	#plan(isUrgent: boolean): void {
		if (this.#timer && (this.#isUrgent || !isUrgent)) {
			return;
		}

		clearTimeout(this.#timer);
		this.#isUrgent = isUrgent;
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.#flush();
		}, isUrgent ? placementGather : otherGather);
	}

	#flush(): void {
		const news = {
			placed: this.#placed, began: this.#began, ended: this.#ended, avoided: this.#avoided, paced: this.#paced,
		};
		this.#placed = [];
		this.#began = [];
		this.#ended = [];
		this.#avoided = [];
		this.#paced = [];
		this.#sendTo([...this.#peers.keys()], news);
	}

	#sendTo(addresses: readonly string[], parts: Partial<Omit<News, 'spread'>>, deltas: SpreadNews['deltas'] = []): void {
		if (addresses.length === 0) {
			return;
		}

		const {origin, spread, port, log} = this.#options;
		const bytes = encodeNews({
			origin, spread: {...spread(), deltas}, asks: 'nothing', placed: [], began: [], ended: [], avoided: [], paced: [], peers: [], ...parts,
		}, performance.now());
		for (const address of addresses) {
			this.#socket.send(bytes, port, address, error => {
				if (error) {
					log.debug('peers.send-failed', {peer: address, reason: error.message});
				}
			});
		}
	}

	#beat(): void {
		const now = performance.now();
		this.#options.book.removeExpired(now);
		this.#dropSilent(now);
		const all = [...this.#peers.keys()];
		// All others rely on the instances that follow the store.
		const turn = this.#options.spread().follows ? all.length : Math.min(heartbeatPeers, all.length);
		this.#sendTo(Array.from({length: turn}, (_, index) => all[(this.#next + index) % all.length]!), {});
		this.#next = all.length === 0 ? 0 : (this.#next + turn) % all.length;
		this.#beats += 1;
		if (all.length > 0 && this.#beats % namesInterval === 0) {
			this.#sendTo([all[this.#next]!], {asks: 'names'});
		}

		for (const [address, times] of this.#asked) {
			if (times >= goneHeartbeats) {
				this.#asked.delete(address);
			} else {
				this.#asked.set(address, times + 1);
				this.#sendTo([address], {asks: 'answer'});
			}
		}
	}

	/** Heartbeats go round, so that the time to hear from a peer grows with the number of peers. */
	#dropSilent(now: number): void {
		const round = heartbeatInterval * Math.max(1, Math.ceil(this.#peers.size / heartbeatPeers));
		for (const peer of this.#peers.values()) {
			const silence = now - peer.heardAt;
			if (silence > round * silentHeartbeats && !peer.isSilent) {
				peer.isSilent = true;
				this.#options.book.removeAllOf(`${peer.origin}/`, now);
				this.#options.log.warn('peer.silent', {peer: peer.ip, origin: peer.origin, silence: Math.round(silence)});
			}

			if (silence > round * goneHeartbeats) {
				this.#peers.delete(peer.ip);
				this.#options.log.info('peer.gone', {peer: peer.ip, origin: peer.origin});
			}
		}
	}

	#receive(bytes: Uint8Array, ip: string): void {
		const now = performance.now();
		try {
			const news = decodeNews(bytes, now);
			this.#heard(ip, news, now);
			this.#take(news, now);
			this.#options.onSpread(ip, news.spread);
			if (news.asks !== 'nothing') {
				this.#sendTo([ip], {peers: news.asks === 'names' ? [...this.#peers.keys()].slice(0, namedPeers) : []});
			}

			this.ask(news.peers, 'answer');
		} catch (error) {
			this.#options.log.warn('peers.unreadable', {peer: ip, bytes: bytes.length, reason: errorMessage(error)});
		}
	}

	#heard(ip: string, {origin, spread: {follows, reachesStore}}: News, now: number): void {
		this.#asked.delete(ip);
		const peer = this.#peers.get(ip);
		if (!peer) {
			this.#peers.set(ip, {
				ip, origin, heardAt: now, isSilent: false, follows, reachesStore,
			});
			this.#options.log.info('peer.known', {peer: ip, origin, peers: this.#peers.size});
			this.#introduce(ip);
			return;
		}

		if (peer.origin !== origin) {
			this.#options.book.removeAllOf(`${peer.origin}/`, now);
			this.#options.log.info('peer.restarted', {peer: ip, origin, before: peer.origin});
			peer.origin = origin;
			this.#introduce(ip);
		}

		if (peer.isSilent) {
			this.#options.log.info('peer.regained', {peer: ip, origin});
		}

		peer.heardAt = now;
		peer.isSilent = false;
		peer.follows = follows;
		peer.reachesStore = reachesStore;
	}

	/** Tells a peer that knows nothing yet what this instance has placed. */
	#introduce(ip: string): void {
		const {placements: placed, prefilledKeys: began} = this.#options.book.placementsOf(`${this.#options.origin}/`);
		for (let from = 0; from < placed.length; from += placementsPerIntroduction) {
			const part = placed.slice(from, from + placementsPerIntroduction);
			const keys = new Set(part.map(({key}) => key));
			this.#sendTo([ip], {placed: part, began: began.filter(key => keys.has(key))});
		}
	}

	#take({placed, began, ended, avoided, paced}: News, now: number): void {
		const {book, reputation} = this.#options;
		for (const placement of placed) {
			book.add(placement, now);
		}

		for (const key of began) {
			book.completePrefill(key, now);
		}

		for (const key of ended) {
			book.remove(key, now);
		}

		for (const {engineId, duration} of avoided) {
			reputation.startCooldown(engineId, duration, now);
		}

		for (const {engineId, pace} of paced) {
			reputation.recordSlowdown(engineId, pace, now);
		}
	}
}
