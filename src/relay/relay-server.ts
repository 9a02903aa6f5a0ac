/**
 * Relays connections to engines for instances whose own paths to them are broken.
 *
 * The instance that asks keeps the request: it chooses the engine, counts attempts and ends the request. The relay passes
 * bytes on and connects directly only, so that a connection is relayed once at most.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import type {Duplex} from 'node:stream';
import {errorMessage} from '../errors/errors.js';
import type {MemoryBudget, MemoryReservation} from '../memory/memory-budget.js';
import {bufferGarbage} from '../memory/process-memory.js';
import type {EngineRecord} from '../serving/model.js';
import {openServer} from '../startup/ports.js';
import type {EventLog} from '../telemetry/log.js';
import type {EngineConnector} from '../upstream/engine-connector.js';
import type {EnginePaths} from './engine-paths.js';
import {
	decodeRelayRequest, encodeFrameHeader, encodeRelayStatus, endFrame, type RelayRequest, type RelayStatus,
} from './relay-protocol.js';

/** Most connections that are relayed at once; each takes two descriptors and the buffers of two sockets. */
const maximumRelays = 500;

/** Most connections of peers, those included on which no request has arrived yet. */
const maximumPeerConnections = 2 * maximumRelays;

/** Bytes that one relayed connection may keep waiting, both ways together: what the runtime reads at once and its buffer, each twice. */
const maximumWaitingBytes = 262_144;

/** Time in milliseconds within which a peer sends its request. */
const requestTimeout = 1000;

/** Time in milliseconds beyond the end of a request after which its connection is closed, if the peer has not closed it. */
const lifetimeMargin = 1000;

/** Time in milliseconds without bytes after which the peer's end of a connection is probed. */
const keepAliveDelay = 1000;

/** What waits in relayed connections counts as this part of the memory that the instance keeps for others. */
const memorySource = 'relayed-bytes';

/** Options of a `RelayServer`. */
export type RelayServerOptions = {
	log: EventLog;
	/** Bounds the bytes that wait in relayed connections. */
	memory: MemoryBudget;
	/** Whether an IP address is that of a live instance. */
	isPeer: (ip: string) => boolean;
	/** An engine that accepts new requests of this instance. */
	acceptingEngine: (id: string) => EngineRecord | undefined;
	paths: Pick<EnginePaths, 'isBroken' | 'recordReached' | 'recordMissed' | 'isEngineAtFault'>;
	connectDirectly: (record: EngineRecord) => EngineConnector;
	/** Whether this instance relays further connections. */
	isAvailable: () => boolean;
};

/** Serves the peers of one instance. */
export class RelayServer {
	readonly #options: RelayServerOptions;
	readonly #server: net.Server;
	readonly #peers = new Set<net.Socket>();
	#activeCount = 0;

	constructor(options: RelayServerOptions) {
		this.#options = options;
		this.#server = net.createServer({noDelay: true}, peer => {
			this.#accept(peer);
		});
	}

	/** Number of connections that are relayed now. */
	get activeCount(): number {
		return this.#activeCount;
	}

	/** @throws the error of the socket; it may be opened again then. */
	async listen(host: string, port: number): Promise<void> {
		await openServer(this.#server, {host, port}, this.#options.log);
	}

	close(): void {
		this.#server.close();
		for (const peer of this.#peers) {
			peer.destroy();
		}
	}

	#accept(peer: net.Socket): void {
		// The peer sees the same failure and reports it.
		peer.on('error', () => undefined);
		if (!this.#options.isPeer(peer.remoteAddress ?? '') || this.#peers.size >= maximumPeerConnections) {
			peer.destroy();
			return;
		}

		this.#peers.add(peer);
		peer.setKeepAlive(true, keepAliveDelay);
		const timer = setTimeout(() => {
			peer.destroy();
		}, requestTimeout);
		peer.once('close', () => {
			clearTimeout(timer);
			this.#peers.delete(peer);
		});
		let received: Uint8Array = new Uint8Array(0);
		const receive = (bytes: Uint8Array) => {
			received = received.length === 0 ? bytes : Buffer.concat([received, bytes]);
			try {
				const decoded = decodeRelayRequest(received);
				if (decoded) {
					clearTimeout(timer);
					peer.off('data', receive);
					void this.#serve(peer, decoded.request);
				}
			} catch (error) {
				this.#options.log.warn('relay.unreadable', {peer: peer.remoteAddress, reason: errorMessage(error)});
				peer.destroy();
			}
		};

		peer.on('data', receive);
	}

	async #serve(peer: net.Socket, request: RelayRequest): Promise<void> {
		const {acceptingEngine, isAvailable, paths, memory} = this.#options;
		const record = acceptingEngine(request.engineId);
		const waiting = memory.hasRoom(memorySource, maximumWaitingBytes) ? memory.reserve({source: memorySource, owner: peer.remoteAddress ?? '', bytes: 0}) : undefined;
		if (!waiting || !isAvailable() || this.#activeCount >= maximumRelays || paths.isBroken(request.engineId)) {
			this.#refuse(peer, request, 'unavailable');
		} else if (record) {
			this.#activeCount += 1;
			try {
				await this.#relay(peer, request, record, waiting);
			} finally {
				this.#activeCount -= 1;
				waiting.release();
			}
		} else {
			this.#refuse(peer, request, 'engine-unknown');
		}
	}

	/** Resolves when the connection to the peer has closed. */
	async #relay(peer: net.Socket, request: RelayRequest, record: EngineRecord, waiting: MemoryReservation): Promise<void> {
		const {paths, connectDirectly, log} = this.#options;
		const startedAt = performance.now();
		let lifetimeTimer: NodeJS.Timeout | undefined;
		const closed = new Promise<void>(resolve => {
			peer.once('close', () => {
				resolve();
			});
		});
		const pending = connectDirectly(record).connect({
			onConnected(engine) {
				paths.recordReached(record.id);
				log.info('relay.opened', {request: request.requestId, engine: record.id, peer: peer.remoteAddress});
				peer.write(encodeRelayStatus('connected'));
				couple(peer, engine, waiting);
				lifetimeTimer = setTimeout(() => {
					peer.destroy();
				}, request.lifetime + lifetimeMargin);
			},
			onFailure: () => {
				paths.recordMissed(record.id);
				void this.#refuseUnreached(peer, request, startedAt);
			},
		});
		await closed;
		clearTimeout(lifetimeTimer);
		pending.abort();
	}

	/** Answers that the engine is unreachable if the engine is at fault, rather than this instance's path to it. */
	async #refuseUnreached(peer: net.Socket, request: RelayRequest, startedAt: number): Promise<void> {
		const isEngineAtFault = await this.#options.paths.isEngineAtFault(request.engineId, startedAt);
		this.#refuse(peer, request, isEngineAtFault ? 'engine-unreachable' : 'unavailable');
	}

	#refuse(peer: net.Socket, {requestId, engineId}: RelayRequest, status: Exclude<RelayStatus, 'connected'>): void {
		this.#options.log.info('relay.refused', {
			request: requestId, engine: engineId, peer: peer.remoteAddress, status,
		});
		peer.end(encodeRelayStatus(status));
	}
}

/**
 * Passes bytes on between a peer and an engine until either closes. After a reset or any other failure of the engine's side
 * the connection to the peer is closed without the marked end. It is not reset: the runtime never closes a socket that fails
 * in the middle of that.
 */
function couple(peer: net.Socket, engine: Duplex, waiting: MemoryReservation): void {
	const reserve = () => waiting.resize(peer.writableLength + engine.writableLength);
	/** Reads no further from the source while bytes wait beyond the buffer of the target, or beyond the budget. */
	const pass = (source: Duplex, target: Duplex, bytes: Uint8Array) => {
		const hasRoom = target.write(bytes, () => {
			reserve();
			if (target.writableLength === 0) {
				source.resume();
			}
		});
		if (!reserve() || !hasRoom) {
			source.pause();
		}
	};

	engine.on('data', (bytes: Uint8Array) => {
		bufferGarbage.record(bytes.length);
		peer.write(encodeFrameHeader(bytes.length));
		pass(engine, peer, bytes);
	});
	peer.on('data', (bytes: Uint8Array) => {
		bufferGarbage.record(bytes.length);
		pass(peer, engine, bytes);
	});
	engine.once('end', () => {
		// Node reports a reset that arrives together with data as a regular end. Only after a reset is the remote address unset.
		if (engine instanceof net.Socket && engine.remoteAddress === undefined) {
			peer.destroy();
		} else {
			peer.end(endFrame);
		}
	});
	engine.on('error', () => {
		peer.destroy();
	});
	engine.once('close', () => {
		if (!engine.readableEnded) {
			peer.destroy();
		}
	});
	peer.once('close', () => {
		engine.destroy();
	});
}
