/**
 * Spreads the configuration over links: generations are announced, documents given on demand.
 *
 * An instance announces a generation only once it has the document, so that whoever announces can give it.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {deflateSync, inflateSync} from 'node:zlib';
import type {Link} from './link.js';
import type {PeerMessage} from './messages.js';

/** Greatest size in bytes of a document. */
const maximumDocument = 4 * 1_048_576;

/** Time in milliseconds after which a document is asked of another instance. */
const answerTimeout = 1000;

/** Where documents come from and go to. */
export interface ConfigurationSource {
	/** Generation in force here; 0 before the first. */
	readonly generation: number;
	readonly text: string;
	/** Takes a document that another instance has in force. */
	offer(generation: number, text: string): void;
}

type ConfigurationMessage = Extract<PeerMessage, {kind: 'generation' | 'configuration-request' | 'configuration'}>;

/** State of the spread at one instance. */
export class ConfigurationSpread {
	readonly #source: ConfigurationSource;
	/** Links that have announced more than what is in force here. */
	#ahead = new Map<Link, number>();
	#askedAt = -Infinity;
	#announced = 0;

	constructor(source: ConfigurationSource) {
		this.#source = source;
	}

	opened(link: Link): void {
		if (this.#source.generation > 0) {
			link.send({kind: 'generation', generation: this.#source.generation});
		}
	}

	/** Announces the generation in force here, once. */
	announce(links: readonly Link[]): void {
		const {generation} = this.#source;
		if (generation <= this.#announced) {
			return;
		}

		this.#announced = generation;
		this.#ahead = new Map([...this.#ahead].filter(([, known]) => known > generation));
		for (const link of links) {
			link.send({kind: 'generation', generation});
		}
	}

	received(link: Link, message: ConfigurationMessage, links: readonly Link[]): void {
		switch (message.kind) {
			case 'generation': {
				this.#learn(link, message.generation);
				break;
			}

			case 'configuration-request': {
				this.#answer(link, message.generation);
				break;
			}

			case 'configuration': {
				this.#source.offer(message.generation, inflateSync(message.document, {maxOutputLength: maximumDocument}).toString());
				this.#askedAt = -Infinity;
				this.announce(links);
				break;
			}
		}
	}

	/** Asks again where an answer has not come. */
	tick(now: number): void {
		if (now - this.#askedAt < answerTimeout) {
			return;
		}

		const ahead = [...this.#ahead].filter(([link, generation]) => link.isOpen && generation > this.#source.generation);
		this.#ahead = new Map(ahead);
		const chosen = ahead[Math.floor(Math.random() * ahead.length)];
		if (chosen) {
			this.#askedAt = now;
			chosen[0].send({kind: 'configuration-request', generation: chosen[1]});
			this.#ahead.delete(chosen[0]);
		}
	}

	#learn(link: Link, generation: number): void {
		if (generation > this.#source.generation) {
			this.#ahead.set(link, generation);
			this.tick(performance.now());
		}
	}

	#answer(link: Link, generation: number): void {
		if (this.#source.generation >= generation) {
			link.send({kind: 'configuration', generation: this.#source.generation, document: deflateSync(Buffer.from(this.#source.text))});
		}
	}
}
