/**
 * Messages between instances, checked on arrival.
 *
 * @module
 */
import {z} from 'zod';
import {
	type LoadDigest, loadDigestSize, packLoads, unpackLoads,
} from './load-digest.js';

/** Greatest number of records in one message. */
export const maximumRecords = 1000;

const name = z.string().min(1).max(128);
const version = z.number().int().nonnegative();

/** What an instance claims about a member. `suspect` and `dead` are claimed by others, `alive` and `leaving` by itself. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** A claim about a member; the higher version holds. */
export type MemberClaim = {
	name: string;
	/** Rises with each restart and each time that the member refutes a suspicion. */
	incarnation: number;
	state: MemberState;
	/** Where the member accepts links, as "IP:port". */
	address: string;
	failureDomain: string;
	region: string;
};

const memberState = z.enum(['alive', 'suspect', 'leaving', 'dead']);

const memberClaim = z.tuple([name, version, memberState, z.string().max(64), name, name]).transform(([member, incarnation, state, address, failureDomain, region]): MemberClaim => ({
	name: member, incarnation, state, address, failureDomain, region,
}));

/** A message of a link. */
export type PeerMessage
	/** First message of each end. */
	= | {kind: 'hello'; name: string; incarnation: number}
		| {kind: 'heartbeat'}
		| {kind: 'members'; claims: MemberClaim[]}
		| {kind: 'loads'; loads: LoadDigest[]}
		/** The sender has this generation and gives the document on demand. */
		| {kind: 'generation'; generation: number}
		/** The sender has read this revision of the instance list. */
		| {kind: 'list-revision'; revision: number}
		| {kind: 'configuration-request'; generation: number}
		/** The document, deflated. */
		| {kind: 'configuration'; generation: number; document: Uint8Array};

const codes = {
	hello: 0, heartbeat: 1, members: 2, loads: 3, generation: 4, configurationRequest: 5, configuration: 6, listRevision: 7,
} as const;

const loadBytes = z.instanceof(Uint8Array).refine(bytes => bytes.length <= maximumRecords * loadDigestSize && bytes.length % loadDigestSize === 0);

const peerMessage = z.union([
	z.tuple([z.literal(codes.heartbeat)]).transform((): PeerMessage => ({kind: 'heartbeat'})),
	z.tuple([z.literal(codes.loads), loadBytes]).transform(([, loads]): PeerMessage => ({kind: 'loads', loads: unpackLoads(loads)})),
	z.tuple([z.literal(codes.members), z.array(memberClaim).max(maximumRecords)]).transform(([, claims]): PeerMessage => ({kind: 'members', claims})),
	z.tuple([z.literal(codes.hello), name, version]).transform(([, sender, incarnation]): PeerMessage => ({kind: 'hello', name: sender, incarnation})),
	z.tuple([z.literal(codes.generation), version]).transform(([, generation]): PeerMessage => ({kind: 'generation', generation})),
	z.tuple([z.literal(codes.listRevision), version]).transform(([, revision]): PeerMessage => ({kind: 'list-revision', revision})),
	z.tuple([z.literal(codes.configurationRequest), version]).transform(([, generation]): PeerMessage => ({kind: 'configuration-request', generation})),
	z.tuple([z.literal(codes.configuration), version, z.instanceof(Uint8Array)]).transform(([, generation, document]): PeerMessage => (
		{kind: 'configuration', generation, document})),
]);

/**
 * Checks a decoded message.
 *
 * @throws {z.ZodError} Where it is none of the known messages.
 */
export function parseMessage(decoded: unknown): PeerMessage {
	return peerMessage.parse(decoded);
}

/** A message in the form that frames carry: arrays led by a number, which take fewer bytes than maps. */
export function packMessage(message: PeerMessage): unknown[] {
	switch (message.kind) {
		case 'hello': {
			return [codes.hello, message.name, message.incarnation];
		}

		case 'heartbeat': {
			return [codes.heartbeat];
		}

		case 'members': {
			return [codes.members, message.claims.map(claim => [claim.name, claim.incarnation, claim.state, claim.address, claim.failureDomain, claim.region])];
		}

		case 'loads': {
			return [codes.loads, packLoads(message.loads)];
		}

		case 'generation': {
			return [codes.generation, message.generation];
		}

		case 'list-revision': {
			return [codes.listRevision, message.revision];
		}

		case 'configuration-request': {
			return [codes.configurationRequest, message.generation];
		}

		case 'configuration': {
			return [codes.configuration, message.generation, message.document];
		}
	}
}
