/**
 * What a serving instance is made of.
 *
 * @module
 */
import type {HealthCheckClient} from '../placement/cold-checks.js';
import type {EngineReservationClient} from '../placement/reservations.js';
import type {EventLog} from '../telemetry/log.js';
import type {DirectConnectorOptions, EngineConnector} from '../upstream/engine-connector.js';
import type {RowSource} from '../watch/row-source.js';
import type {RowWriter} from './instance-registration.js';
import type {
	EngineRecord, RequestProtocol, ServingBounds, ServingConfiguration,
} from './model.js';

/** An IP address and a port. */
export type Endpoint = {host: string; port: number};

/** Tables of the platform's store with the decoders and fingerprints of their rows. */
export type StoreTables = {
	configuration: {
		table: string; key: string; decode: (value: string) => ServingConfiguration; fingerprint: (key: string, value: string) => string;
		/** Failure domain that a row of the table evacuates; undefined for rows of other kinds. */
		decodeEvacuation: (key: string) => string | undefined;
	};
	engines: {
		table: string; decode: (id: string, value: string) => EngineRecord; fingerprint: (key: string, value: string) => string;
		/** Time in milliseconds for which an engine is cold after the write of its row. */
		statedTime: (key: string, value: string) => number;
	};
	/** One row per instance, written by the instance itself, with its IP address. */
	instances: {table: string; decode: (value: string) => string};
};

/** Options of a `ServingInstance`. */
export type ServingInstanceOptions = {
	instance: string;
	ip: string;
	failureDomain: string;
	/** Region of each failure domain. */
	regions?: ReadonlyMap<string, string>;
	/** Memory that the process may take, in bytes; undefined where no limit is known. */
	memoryLimit?: number | undefined;
	/** Sockets and pipes that the process may have open; undefined where no limit is known. */
	socketLimit?: number | undefined;
	/**
	 * Time in milliseconds for which ports that are taken are waited for.
	 * @default 30000
	 */
	startLimit?: number | undefined;
	callers: Endpoint;
	readiness: Endpoint;
	/** Address on which metrics and the quarantine list are served; undefined for none. */
	metrics: Endpoint | undefined;
	/** IP addresses of the instances to contact first; some may no longer exist. */
	seeds: readonly string[];
	/** Port for messages between instances, the same at all of them. */
	peerPort: number;
	/** Port on which instances relay connections to engines for each other, the same at all of them. */
	relayPort: number;
	bounds: ServingBounds;
	store: RowSource & RowWriter & {close: () => void};
	tables: StoreTables;
	protocol: RequestProtocol;
	reservationClient: EngineReservationClient;
	/**
	 * Asks engines whether they have turned cold while the store is away.
	 * @default they are not asked
	 */
	healthCheckClient?: HealthCheckClient;
	/**
	 * Opens connections to engines over this instance's own network path.
	 * @default DirectConnector
	 */
	connectDirectly?: (options: DirectConnectorOptions) => EngineConnector;
	log: EventLog;
	droppedLineCount: () => number;
};
