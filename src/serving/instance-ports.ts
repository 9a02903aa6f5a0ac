/**
 * Ports of an instance, in the order in which they are opened.
 *
 * @module
 */
import http from 'node:http';
import type {Socket} from 'node:net';
import {onceClosed} from '../entry/connection-end.js';
import {openServer, type Port} from '../startup/ports.js';
import type {EventLog} from '../telemetry/log.js';
import type {Endpoint, ServingInstanceOptions} from './serving-instance-options.js';

/** Connections to one of the small HTTP servers, and requests of one connection that wait for their answers. */
const maximumConnections = 64;
const maximumWaitingRequests = 8;

/** Options of `InstancePorts`. */
export type InstancePortsOptions = Pick<ServingInstanceOptions, 'callers' | 'readiness' | 'metrics' | 'ip' | 'peerPort' | 'relayPort'> & {
	log: EventLog;
	isReady: () => boolean;
	/** Answers requests at the port for metrics. */
	answerOperator: http.RequestListener;
	tableServer: {listen: (host: string, port: number, log: EventLog) => Promise<void>};
	relay: {listen: () => Promise<void>};
	peerMessenger: {start: () => Promise<void>};
	callerListener: {listen: (endpoint: Endpoint, log: EventLog) => Promise<void>};
};

/** The ports of one instance, and the small HTTP servers behind some of them. */
export class InstancePorts {
	/** The readiness port is the first, and answers that the instance is not ready until all are open. */
	readonly inOrder: readonly Port[];
	readonly #servers: http.Server[] = [];

	constructor(options: InstancePortsOptions) {
		const {
			callers, readiness, metrics, ip, peerPort, relayPort, log, isReady,
		} = options;
		this.inOrder = [
			this.#httpPort('readiness', readiness, log, (_request, response) => {
				response.writeHead(isReady() ? 200 : 503, ['Content-Length', '0']);
				response.end();
			}),
			{
				name: 'tables', host: ip, port: peerPort, transport: 'tcp', open: async () => options.tableServer.listen(ip, peerPort, log),
			},
			{
				name: 'relay', host: ip, port: relayPort, transport: 'tcp', open: async () => options.relay.listen(),
			},
			...metrics ? [this.#httpPort('metrics', metrics, log, options.answerOperator)] : [],
			{
				name: 'peers', host: ip, port: peerPort, transport: 'udp', open: async () => options.peerMessenger.start(),
			},
			// No request is accepted before all other ports are open.
			{
				name: 'callers', ...callers, transport: 'tcp', open: async () => options.callerListener.listen(callers, log),
			},
		];
	}

	/** Closes the HTTP servers; the other ports are closed by their owners. */
	close(): void {
		for (const server of this.#servers) {
			server.close();
		}
	}

	#httpPort(name: string, endpoint: Endpoint, log: EventLog, handler: http.RequestListener): Port {
		const server = http.createServer(boundWaitingRequests(handler));
		server.maxConnections = maximumConnections;
		this.#servers.push(server);
		return {
			name, ...endpoint, transport: 'tcp', open: async () => openServer(server, endpoint, log),
		};
	}
}

/** Closes connections on which more requests wait for their answers than a sound client sends. */
function boundWaitingRequests(handler: http.RequestListener): http.RequestListener {
	const waitingRequests = new WeakMap<Socket, number>();
	return (request, response) => {
		const {socket} = request;
		const waiting = (waitingRequests.get(socket) ?? 0) + 1;
		if (socket.destroyed || waiting > maximumWaitingRequests) {
			// What was read before the connection is closed is still parsed.
			socket.destroy();
			return;
		}

		waitingRequests.set(socket, waiting);
		onceClosed(request, response, () => {
			waitingRequests.set(socket, waitingRequests.get(socket)! - 1);
		});
		handler(request, response);
	};
}
