/**
 * What of an answer the caller has, so that another run can be joined to it safely.
 *
 * @module
 */

/** Texts of the delivered tokens by offset. */
export class DeliveredText {
	readonly #tokens: string[] = [];

	append(text: string): void {
		this.#tokens.push(text);
	}

	/** Forgets all tokens, where none of them has reached the caller. */
	clear(): void {
		this.#tokens.length = 0;
	}

	/** Whether a token of another run says the same as the delivered one at its offset. */
	matches(offset: number, text: string): boolean {
		return this.#tokens[offset] === text;
	}
}
