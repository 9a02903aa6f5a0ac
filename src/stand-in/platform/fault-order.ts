/**
 * Faults of a platform stand-in: those of its connections and those of the twin behind it.
 *
 * @module
 */
import {performance} from 'node:perf_hooks';
import {z} from 'zod';
import {type FaultSettings, type PlatformFaults} from '../../platform/memory/faults.js';
import {ClearTimer} from '../clear-timer.js';
import {type Faults} from '../faults.js';

const milliseconds = z.number().nonnegative();
const count = z.int().nonnegative();

const orderShape = z.strictObject({
	/** `unavailable` refuses each call as not done, `refusing` closes the listener as well. */
	availability: z.enum(['up', 'refusing', 'unavailable']).optional(),
	/** Time in milliseconds added before each call takes effect. */
	slow: milliseconds.optional(),
	/** Time in milliseconds from now before which no call takes effect. */
	freeze: milliseconds.optional(),
	/** Next calls lost before they take effect. */
	loseRequests: count.optional(),
	/** Next writes whose answer is lost. */
	loseAnswers: count.optional(),
	/** Share of writes whose answer is lost, from 0 to 1. */
	loseAnswerProbability: z.number().min(0).max(1).optional(),
	/** Time in milliseconds after which a write takes effect whose answer was lost. */
	lateEffect: milliseconds.optional(),
	/** Refuses every call as over the rate. */
	rateLimited: z.boolean().optional(),
	/** The connections that are open now carry nothing any more; new ones work. */
	silence: z.boolean().optional(),
	/** The connections that are open now are closed; new ones work. */
	cut: z.boolean().optional(),
	/** Time in milliseconds after which the lasting faults end; without it they stay. */
	duration: z.number().positive().optional(),
});

/** A change of faults; what it leaves out stays as it is. */
export type PlatformFaultOrder = z.infer<typeof orderShape>;

/**
 * Reads a fault order from the wire.
 *
 * @throws {z.ZodError} Where a field is unknown or has a wrong type.
 */
export function parsePlatformFaultOrder(value: unknown): PlatformFaultOrder {
	return orderShape.parse(value);
}

/** Applies fault orders to a stand-in. */
export class StandInFaults {
	readonly #connections: Faults;
	readonly #calls: PlatformFaults;
	readonly #reset = new ClearTimer();

	constructor(connections: Faults, calls: PlatformFaults) {
		this.#connections = connections;
		this.#calls = calls;
	}

	apply(order: PlatformFaultOrder): void {
		const {availability, freeze, silence, cut, duration, ...settings} = order;
		this.#calls.set(named({
			...settings,
			down: availability && availability !== 'up',
			frozenUntil: freeze === undefined ? undefined : performance.now() + freeze,
		}));
		this.#connections.apply(named({availability, silence, cut}));
		this.#reset.start(duration, () => {
			this.clear();
		});
	}

	/** Ends all faults; connections that went silent stay so. */
	clear(): void {
		this.#reset.cancel();
		this.#calls.clear();
		this.#connections.clear();
	}

	get settings(): Readonly<FaultSettings> {
		return this.#calls.settings;
	}
}

/** Leaves out the fields that are undefined. */
function named<Value extends Record<string, unknown>>(value: Value): {[Key in keyof Value]?: Exclude<Value[Key], undefined>} {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Object.fromEntries loses the keys
	return Object.fromEntries(Object.entries(value).filter(([, field]) => field !== undefined)) as {[Key in keyof Value]?: Exclude<Value[Key], undefined>};
}
