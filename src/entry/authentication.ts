/**
 * Recognises customers by their keys.
 *
 * @module
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {CarobquayError} from '../errors/errors.js';
import type {Configuration, Customer} from '../configuration/model.js';

/** SHA-256 of a key, in hexadecimal. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Customers of one configuration by the hashes of their keys. */
export class KeyRing {
	readonly #customers = new Map<string, Customer>();

	constructor(configuration: Configuration) {
		for (const customer of configuration.customers.values()) {
			for (const hash of customer.keyHashes) {
				this.#customers.set(hash, customer);
			}
		}
	}

	/**
	 * The customer that an Authorization header belongs to.
	 *
	 * @throws {CarobquayError} 2001 where the header is missing or its key belongs to nobody.
	 */
	authenticate(header: string | undefined): Customer {
		const key = bearerKey(header);
		if (key === undefined) {
			throw new CarobquayError('2001', {message: 'the Authorization header is missing or has no bearer key'});
		}

		const customer = this.#customers.get(hashKey(key));
		if (customer === undefined) {
			throw new CarobquayError('2001', {message: 'the key belongs to no declared customer'});
		}

		return customer;
	}
}

/** Whether an Authorization header carries the key with a hash; an empty hash admits everyone. */
export function isOperator(header: string | undefined, keyHash: string): boolean {
	if (keyHash === '') {
		return true;
	}

	const given = hashKey(bearerKey(header) ?? '');
	return timingSafeEqual(new TextEncoder().encode(given), new TextEncoder().encode(keyHash));
}

function bearerKey(header: string | undefined): string | undefined {
	return /^Bearer (\S+)$/iv.exec(header ?? '')?.[1];
}
