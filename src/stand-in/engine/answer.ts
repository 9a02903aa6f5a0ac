/**
 * Deterministic answers, from which a caller can tell that an answer is its own and whole.
 *
 * @module
 */
import {createHash} from 'node:crypto';

/** Hexadecimal digits of a body's hash in each token. */
const answerHashDigits = 8;

/** Hash of a request's body, as its answer repeats it in each token. */
export function answerHash(body: readonly Uint8Array[]): string {
	const hash = createHash('sha256');
	for (const chunk of body) {
		hash.update(chunk);
	}

	return hash.digest('hex').slice(0, answerHashDigits);
}

/** Text of the answer token at an offset. */
export function answerToken(hash: string, offset: number): string {
	return ` ${hash}-${offset}`;
}

/** Text of a whole answer. */
export function answerText(hash: string, tokens: number): string {
	return Array.from({length: tokens}, (_, offset) => answerToken(hash, offset)).join('');
}
