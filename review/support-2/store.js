/** Stand-in of the platform's metadata store: rows, feeds and transactions, as PROTOCOL.md describes them. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';

/** Fields of the wire. */
const versionField = 'schema_version';
const clockField = 'now_ms';

const rowId = (table, key) => `${table}\u0000${key}`;

export class Store {
	/** Newest feed of each caller and table, by `ADDRESS TABLE`: when it ends if nothing changes. */
	feeds = new Map();
	#version = 1;
	#rows = new Map();
	#history = [];
	#waiting = new Set();
	#server;

	async listen(host, port) {
		this.#server = http.createServer((request, response) => {
			this.#handle(request, response);
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes a row. It is acknowledged when this returns. */
	put(table, key, document) {
		this.#version += 1;
		this.#store({
			table, part: '', key, value: Buffer.from(JSON.stringify(document)).toString('base64'), [versionField]: this.#version,
		});
		this.#wake();
	}

	/** Removes a row. It is acknowledged when this returns. */
	remove(table, key) {
		this.#version += 1;
		this.#rows.delete(rowId(table, key));
		this.#history.push({
			table, part: '', key, tombstone: true, [versionField]: this.#version,
		});
		this.#wake();
	}

	#store(row) {
		this.#rows.set(rowId(row.table, row.key), row);
		this.#history.push(row);
	}

	#wake() {
		for (const check of this.#waiting) {
			check();
		}
	}

	#reply(response, status, body) {
		const text = JSON.stringify({...body, [versionField]: this.#version, [clockField]: Math.round(performance.now())});
		response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)});
		response.end(text);
	}

	#handle(request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const table = searchParams.get('table');
		switch (pathname) {
			case '/api/rows-get': {
				const rows = [...this.#rows.values()].filter(row => row.table === table).toSorted((one, other) => one.key < other.key ? -1 : 1);
				this.#reply(response, 200, {rows, truncated: false});
				break;
			}

			case '/api/rows-feed': {
				this.#feed(request, response, {table, after: Number(searchParams.get('after_revision')), wait: Number(searchParams.get('wait_ms'))});
				break;
			}

			case '/api/rows-tx': {
				this.#transact(request, response);
				break;
			}

			default: {
				this.#reply(response, 404, {});
			}
		}
	}

	#feed(request, response, {table, after, wait}) {
		this.feeds.set(`${request.socket.remoteAddress} ${table}`, {endsAt: performance.now() + wait, wait, port: request.socket.remotePort});
		const changes = () => this.#history.filter(row => row.table === table && row[versionField] > after);
		const stop = () => {
			clearTimeout(timer);
			this.#waiting.delete(check);
		};

		const check = () => {
			if (changes().length > 0) {
				stop();
				this.#reply(response, 200, {rows: changes()});
			}
		};

		const timer = setTimeout(() => {
			stop();
			this.#reply(response, 200, {rows: []});
		}, wait);
		this.#waiting.add(check);
		response.once('close', stop);
		check();
	}

	#transact(request, response) {
		let body = '';
		request.on('data', chunk => {
			body += chunk;
		});
		request.on('end', () => {
			this.#version += 1;
			for (const row of JSON.parse(body).writes ?? []) {
				this.#store({...row, part: row.part ?? '', [versionField]: this.#version});
			}

			this.#wake();
			this.#reply(response, 200, {});
		});
	}
}
