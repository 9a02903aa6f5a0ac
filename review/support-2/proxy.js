/** TCP proxy on the way from one machine to the store, whose open connections can go silent while new ones work. */
import net from 'node:net';

export class Proxy {
	/** Whether new connections are silent too, as if the target were down. */
	isDown = false;
	#host;
	#target;
	#server;
	#links = new Set();

	/** @param host - Address to listen on, and from which the target is reached. */
	constructor(host, target) {
		this.#host = host;
		this.#target = target;
	}

	async listen(port) {
		this.#server = net.createServer({noDelay: true}, near => {
			this.#accept(near);
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, this.#host, resolve);
		});
	}

	/** From now on nothing passes on the connections that are open now and that a test picks by their port at the store. @returns their number. */
	silence(isPicked = () => true) {
		const picked = [...this.#links].filter(link => isPicked(link.far.localPort));
		for (const link of picked) {
			link.isSilent = true;
		}

		return picked.length;
	}

	close() {
		this.#server.close();
		for (const {near, far} of this.#links) {
			near.destroy();
			far.destroy();
		}
	}

	#accept(near) {
		const far = net.connect({...this.#target, localAddress: this.#host, noDelay: true});
		const link = {near, far, isSilent: this.isDown};
		this.#links.add(link);
		this.#pass(link, near, far);
		this.#pass(link, far, near);
	}

	#pass(link, from, to) {
		from.on('data', bytes => {
			if (!link.isSilent) {
				to.write(bytes);
			}
		});
		from.on('error', () => {
			// Its close follows.
		});
		from.on('close', () => {
			// What the store does on a silent connection is not seen by the machine.
			if (!link.isSilent || from === link.near) {
				to.destroy();
				this.#links.delete(link);
			}
		});
	}
}
