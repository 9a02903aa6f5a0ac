/**
 * The platform's lagging list of live and leaving instances.
 *
 * @module
 */

/** What an instance does. */
export type InstanceKind = 'entry' | 'engine' | 'service';

/** Whether an instance stays or is about to go. */
export type InstanceState = 'live' | 'leaving';

/** One line of the list. */
export type ListedInstance = {
	/** Unique name, for example "kohus-llm-7". */
	name: string;
	kind: InstanceKind;
	/** Address of its main port, as "IP:port". */
	address: string;
	failureDomain: string;
	region: string;
	state: InstanceState;
	/** Labels that pools select by. */
	labels: Readonly<Record<string, string>>;
};

/** The list as it stood at a time that may be seconds ago. */
export type InstanceSnapshot = {
	/** Rises with each change of the list. */
	revision: number;
	instances: readonly ListedInstance[];
};

/** The instance list; throws CarobquayError 5005. */
export interface InstanceList {
	read(signal?: AbortSignal): Promise<InstanceSnapshot>;
}
