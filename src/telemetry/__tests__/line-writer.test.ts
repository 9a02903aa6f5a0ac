import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {type ByteSink, LineWriter} from '../line-writer.js';

function createRecordingSink() {
	const written: string[] = [];
	const sink: ByteSink = (bytes, done) => {
		written.push(new TextDecoder().decode(bytes));
		done(undefined, bytes.length);
	};

	return {written, sink};
}

test.serial('buffered lines are written in one write', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
	t.teardown(() => {
		clock.uninstall();
	});
	const {written, sink} = createRecordingSink();
	const writer = new LineWriter(sink);
	writer.write('one', false);
	writer.write('two', false);
	t.deepEqual(written, []);
	clock.tick(100);
	t.deepEqual(written, ['one\ntwo\n']);
});

test.serial('a reader that has stopped does not block the writer, and lines that report no failure are dropped first', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	t.teardown(() => {
		clock.uninstall();
	});
	let finishWrite: (() => void) | undefined;
	const written: string[] = [];
	const writer = new LineWriter((bytes, done) => {
		written.push(new TextDecoder().decode(bytes));
		finishWrite = () => {
			done(undefined, bytes.length);
		};
	});
	writer.write('first', false);
	clock.tick(100);
	for (let number = 0; number < 300; number++) {
		clock.tick(5);
		writer.write('x'.repeat(1000), false);
	}

	const {droppedLineCount} = writer;
	t.true(droppedLineCount > 50, `${droppedLineCount} lines were dropped`);
	writer.write('request.ended outcome=failed', true);
	t.is(writer.droppedLineCount, droppedLineCount, 'the line that reports a failure is not dropped');

	finishWrite?.();
	clock.tick(100);
	t.true(written[1]?.includes('outcome=failed'));
	t.true(written[1]?.includes(`event=log.dropped lines=${droppedLineCount}`));
});

test.serial('ordinary lines are limited per second', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	t.teardown(() => {
		clock.uninstall();
	});
	const writer = new LineWriter(createRecordingSink().sink);
	for (let number = 0; number < 500; number++) {
		writer.write('line', false);
	}

	t.is(writer.droppedLineCount, 100);
	clock.tick(1000);
	writer.write('line', false);
	t.is(writer.droppedLineCount, 0, 'the number of dropped lines was written');
});

test.serial('a partial write is continued with the remaining bytes', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
	t.teardown(() => {
		clock.uninstall();
	});
	const written: string[] = [];
	const writer = new LineWriter((bytes, done) => {
		const byteCount = Math.min(4, bytes.length);
		written.push(new TextDecoder().decode(bytes.subarray(0, byteCount)));
		done(undefined, byteCount);
	});
	writer.write('abcdef', false);
	clock.tick(300);
	t.is(written.join(''), 'abcdef\n');
});

test.serial('a failed write counts all its lines as dropped, and the next lines are written', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
	t.teardown(() => {
		clock.uninstall();
	});
	const written: string[] = [];
	const writer = new LineWriter((bytes, done) => {
		written.push(new TextDecoder().decode(bytes));
		if (written.length === 1) {
			writer.write('during the failed write', false);
			done(Object.assign(new Error('broken pipe'), {code: 'EPIPE'}), 0);
		} else {
			done(undefined, bytes.length);
		}
	});
	writer.write('one', false);
	writer.write('two', false);
	clock.tick(100);
	t.is(writer.droppedLineCount, 2);
	clock.tick(100);
	t.is(written[1], 'during the failed write\nevent=log.dropped lines=2\n');
});

test.serial('the limit of pending bytes counts the bytes that are written', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	t.teardown(() => {
		clock.uninstall();
	});
	let pendingBytes = 0;
	const writer = new LineWriter(bytes => {
		pendingBytes += bytes.length;
	});
	for (let number = 0; number < 300; number++) {
		writer.write('€'.repeat(1000), true);
	}

	clock.tick(100);
	t.true(pendingBytes <= 262_144 + 100, `${pendingBytes} bytes`);
});
