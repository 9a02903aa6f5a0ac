/**
 * Checks the line ends in the heads of a response before they are parsed.
 *
 * The runtime's parser takes any byte for the line feed after a carriage return. Where a head breaks off between the two, it
 * would take what follows, such as another response, for the body.
 *
 * @module
 */

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const space = 0x20;
const digitOne = 0x31;

/** Scans the bytes of one connection up to the end of the first final head. */
export class ResponseHeadScanner {
	#previous = 0;
	/** Bytes of the current line, without its end. */
	#lineLength = 0;
	#isInStatusLine = true;
	#hasSeenStatus = false;
	#isProvisional = false;
	#isFinished = false;

	/** Whether the final head has ended; what follows is not scanned. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** Scans the next bytes. @returns false if a carriage return in a head is not followed by a line feed. */
	scan(bytes: Uint8Array): boolean {
		for (const byte of bytes) {
			if (this.#isFinished) {
				break;
			}

			if (this.#previous === carriageReturn && byte !== lineFeed) {
				return false;
			}

			if (byte === lineFeed) {
				this.#endLine();
			} else if (byte !== carriageReturn) {
				this.#lineLength += 1;
				this.#readStatus(byte);
			}

			this.#previous = byte;
		}

		return true;
	}

	/** Notes whether the status, which follows the first space of its line, is that of a provisional response (1xx). */
	#readStatus(byte: number): void {
		if (this.#isInStatusLine && !this.#hasSeenStatus && this.#previous === space) {
			this.#hasSeenStatus = true;
			this.#isProvisional = byte === digitOne;
		}
	}

	#endLine(): void {
		const isEmpty = this.#lineLength === 0;
		this.#lineLength = 0;
		if (!isEmpty) {
			this.#isInStatusLine = false;
		} else if (!this.#isInStatusLine) {
			this.#isFinished = !this.#isProvisional;
			this.#isInStatusLine = true;
			this.#hasSeenStatus = false;
		}
	}
}
