/**
 * Answer tokens already delivered to the caller, so that the answer of another attempt can safely be joined to them.
 *
 * @module
 */

/** Texts of the delivered tokens, indexed by token offset. */
export class DeliveredText {
	readonly #tokens: string[] = [];

	append(text: string): void {
		this.#tokens.push(text);
	}

	/** Removes all tokens; called only if none of them has reached the caller. */
	clear(): void {
		this.#tokens.length = 0;
	}

	/** Whether a token of another attempt equals the delivered token at the same offset. */
	matches(offset: number, text: string): boolean {
		return this.#tokens[offset] === text;
	}
}
