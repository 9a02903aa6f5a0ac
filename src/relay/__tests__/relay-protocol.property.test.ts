import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {
	decodeRelayRequest, encodeFrameHeader, encodeRelayRequest, endFrame, FrameReader, RelayProtocolError,
} from '../relay-protocol.js';

/** Cuts bytes at the given positions. */
function cut(bytes: Uint8Array, positions: readonly number[]): Uint8Array[] {
	const sorted = [...new Set(positions.map(position => position % (bytes.length + 1)))].toSorted((one, other) => one - other);
	return [0, ...sorted].map((position, index, starts) => bytes.subarray(position, starts[index + 1]));
}

test('frames are read alike however their bytes are cut, up to the marked end', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.uint8Array({minLength: 1, maxLength: 50}), {maxLength: 8}), fc.array(fc.nat(500)), (contents, positions) => {
			const encoded = Buffer.concat([...contents.flatMap(content => [encodeFrameHeader(content.length), content]), endFrame]);
			const reader = new FrameReader();
			const pieces = cut(encoded, positions).flatMap(piece => reader.read(piece));
			return reader.isEnded && Buffer.concat(pieces).equals(Buffer.concat(contents));
		}));
	});
});

test('frames without the marked end do not count as ended', t => {
	const reader = new FrameReader();
	t.is(reader.read(Buffer.concat([encodeFrameHeader(4), Buffer.from('part')])).length, 1);
	t.false(reader.isEnded);
});

test('bytes after the marked end are an error', t => {
	t.throws(() => new FrameReader().read(Buffer.concat([endFrame, Buffer.from('x')])), {instanceOf: RelayProtocolError});
});

test('a request is decoded as it was encoded, once all of its bytes are there', t => {
	const request = {engineId: 'engine', requestId: 'request', lifetime: 1500};
	const encoded = encodeRelayRequest(request);
	t.deepEqual(decodeRelayRequest(encoded)?.request, request);
	t.true(Array.from({length: encoded.length}, (_, length) => encoded.subarray(0, length)).every(part => decodeRelayRequest(part) === undefined));
});

test('any bytes are a request, part of one, or an error of the protocol', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
			try {
				decodeRelayRequest(bytes);
			} catch (error) {
				if (!(error instanceof RelayProtocolError)) {
					throw error;
				}
			}
		}));
	});
});

for (const requestId of ['x'.repeat(20_000), '\u00FF'.repeat(20_000)]) {
	// Guards against relays that refuse the requests of a caller with long ids.
	test(`a request with an id of ${requestId.length} characters, ${JSON.stringify(requestId[0])} each, is decoded with the beginning of it`, t => {
		const encoded = encodeRelayRequest({engineId: 'e'.repeat(200), requestId, lifetime: 1500});
		t.deepEqual(decodeRelayRequest(encoded)?.request, {engineId: 'e'.repeat(200), requestId: requestId.slice(0, 200), lifetime: 1500});
	});
}
