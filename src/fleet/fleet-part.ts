/**
 * Joins the fleet task with the router, the directory and the configuration of one instance.
 *
 * @module
 */
import type {EventLog} from '../telemetry/log.js';
import type {UpstreamDirectory} from '../upstream/directory.js';
import type {AcceptedConfiguration} from '../configuration/store.js';
import {Fleet} from './fleet.js';
import {defaultFanOut} from './fleet-options.js';
import {loadAge} from './load-digest.js';
import {WatcherSharing} from './load-sharing.js';
import type {MemberClaim} from './messages.js';

/** The part of the router that depends on the other instances. */
export interface InstanceCounter {
	setInstances(count: number): void;
}

/** The part of the configuration store that peers use. */
export interface ConfigurationHolder {
	readonly current: AcceptedConfiguration | undefined;
	offer(generation: number, text: string): void;
}

export type FleetPartOptions = {
	name: string;
	failureDomain: string;
	region: string;
	host: string;
	port: number;
	/** Shared keys: the first signs, all are accepted. */
	keys: readonly string[];
	/** Time in milliseconds between readings of a load. */
	loadInterval: number;
	/** Number of upstreams up to which every instance reads all loads itself. */
	directLimit: number;
	log: EventLog;
	router: InstanceCounter;
	/** Asked late, since they are made after this part. */
	store: () => ConfigurationHolder;
	directory: () => Pick<UpstreamDirectory, 'applySharedLoad' | 'rescheduleLoadPolls' | 'rescheduleListPoll'>;
	/**
	 * Members that each instance dials.
	 * @default 2
	 */
	fanOut?: number;
};

/** The fleet as one instance uses it. */
export class FleetPart {
	readonly sharing: WatcherSharing;
	readonly #fleet: Fleet;
	readonly #log: EventLog;
	#isStarted = false;

	constructor({router, store, directory, ...options}: FleetPartOptions) {
		this.#log = options.log;
		this.#fleet = new Fleet({
			...options,
			configuration: {
				get generation() {
					return store().current?.configuration.generation ?? 0;
				},
				get text() {
					return store().current?.text ?? '';
				},
				offer(generation, text) {
					store().offer(generation, text);
				},
			},
			listener: {
				membersChanged(live) {
					router.setInstances(live.length);
					directory().rescheduleLoadPolls();
				},
				listChanged() {
					directory().rescheduleListPoll();
				},
				loadLearned: digest => {
					const learned = this.sharing.resolve(digest);
					if (learned) {
						directory().applySharedLoad(learned.upstream, learned.load);
					}
				},
			},
		});
		this.sharing = new WatcherSharing({...options, channel: this.#fleet, fanOut: options.fanOut ?? defaultFanOut});
	}

	get members(): readonly MemberClaim[] {
		return this.#fleet.members;
	}

	/** Number of open links and of bytes sent and received on all links so far. */
	get traffic(): {links: number; bytes: number} {
		return {links: this.#fleet.linkCount, bytes: this.#fleet.bytes};
	}

	/** Ages in milliseconds of the loads that are known by digests. */
	get loadAges(): number[] {
		return this.#fleet.loads.loads.map(({version}) => loadAge(version));
	}

	/** @returns the address on which other instances connect. */
	async start(): Promise<string> {
		const address = await this.#fleet.start();
		this.#isStarted = true;
		this.#log.info('fleet.listening', {address});
		return address;
	}

	/** Tells the others that this instance takes no new work. */
	leave(): void {
		this.#fleet.leave();
	}

	async stop(): Promise<void> {
		await this.#fleet.stop();
	}

	/** Tells the others of the generation now in force here. */
	generationInForce(): void {
		if (this.#isStarted) {
			this.#fleet.announceGeneration();
		}
	}
}
