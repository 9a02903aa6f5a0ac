/**
 * Loads of upstreams in a fixed form of few bytes, and the newest of them known here.
 *
 * @module
 */
import {Buffer} from 'node:buffer';

/** Size in bytes of one digest. */
export const loadDigestSize = 12;

/** Start of the versions, in milliseconds since 1970: 2026-01-01. */
const epoch = 1_767_225_600_000;

/** Milliseconds in one step of a version. */
const versionStep = 100;

/** Greatest value of a level; levels are logarithmic. */
const maximumLevel = 255;

/** Steps of a level for each doubling. */
const levelsPerDoubling = 12;

/** Added to the free percentage of an upstream that is leaving. */
const leavingFlag = 128;

/** Load of an upstream as its watcher saw it. */
export type LoadDigest = {
	/** Number of the upstream, made from its name by `hashText`. */
	upstream: number;
	/** Time of the report; see `loadVersion`. */
	version: number;
	running: number;
	waiting: number;
	/** Prompt tokens not yet prefilled. */
	pendingPromptTokens: number;
	/** Free part of KV memory, in percent. */
	freePercent: number;
	leaving: boolean;
};

/** Version of a report made now. */
export function loadVersion(): number {
	return Math.floor((Date.now() - epoch) / versionStep);
}

/** Age in milliseconds of a version, by clocks that may differ a little. */
export function loadAge(version: number): number {
	return Math.max(0, Date.now() - epoch - (version * versionStep));
}

function toLevel(value: number): number {
	return Math.min(maximumLevel, Math.round(levelsPerDoubling * Math.log2(1 + value)));
}

function fromLevel(level: number): number {
	return Math.round((2 ** (level / levelsPerDoubling)) - 1);
}

/** Encodes digests one after the other. */
export function packLoads(loads: readonly LoadDigest[]): Uint8Array {
	const bytes = Buffer.alloc(loads.length * loadDigestSize);
	for (const [index, load] of loads.entries()) {
		const at = index * loadDigestSize;
		bytes.writeUInt32BE(load.upstream, at);
		bytes.writeUInt32BE(load.version, at + 4);
		bytes.writeUInt8(toLevel(load.running), at + 8);
		bytes.writeUInt8(toLevel(load.waiting), at + 9);
		bytes.writeUInt8(toLevel(load.pendingPromptTokens), at + 10);
		bytes.writeUInt8(Math.round(load.freePercent) + (load.leaving ? leavingFlag : 0), at + 11);
	}

	return bytes;
}

/** Decodes digests; bytes after the last whole one are ignored. */
export function unpackLoads(bytes: Uint8Array): LoadDigest[] {
	const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	return Array.from({length: Math.floor(view.length / loadDigestSize)}, (_, index) => {
		const at = index * loadDigestSize;
		const free = view.readUInt8(at + 11);
		return {
			upstream: view.readUInt32BE(at),
			version: view.readUInt32BE(at + 4),
			running: fromLevel(view.readUInt8(at + 8)),
			waiting: fromLevel(view.readUInt8(at + 9)),
			pendingPromptTokens: fromLevel(view.readUInt8(at + 10)),
			freePercent: free % leavingFlag,
			leaving: free >= leavingFlag,
		};
	});
}

/** Newest digest of each upstream. */
export class LoadBoard {
	readonly #loads = new Map<number, LoadDigest>();

	get loads(): LoadDigest[] {
		return [...this.#loads.values()];
	}

	get(upstream: number): LoadDigest | undefined {
		return this.#loads.get(upstream);
	}

	/** @returns whether the digest is newer than the one known. */
	take(load: LoadDigest): boolean {
		const known = this.#loads.get(load.upstream);
		if (known && known.version >= load.version) {
			return false;
		}

		this.#loads.set(load.upstream, load);
		return true;
	}

	/** Forgets upstreams that are no longer listed. */
	keep(upstreams: ReadonlySet<number>): void {
		for (const upstream of this.#loads.keys()) {
			if (!upstreams.has(upstream)) {
				this.#loads.delete(upstream);
			}
		}
	}
}
