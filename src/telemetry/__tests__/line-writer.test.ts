import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import {type ByteSink, LineWriter} from '../line-writer.js';

function collecting() {
	const written: string[] = [];
	const sink: ByteSink = (bytes, done) => {
		written.push(new TextDecoder().decode(bytes));
		done(undefined, bytes.length);
	};

	return {written, sink};
}

test.serial('lines are gathered into one write', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
	t.teardown(() => {
		clock.uninstall();
	});
	const {written, sink} = collecting();
	const writer = new LineWriter(sink);
	writer.write('one', false);
	writer.write('two', false);
	t.deepEqual(written, []);
	clock.tick(100);
	t.deepEqual(written, ['one\ntwo\n']);
});

test.serial('a reader that has stopped holds up nothing, and lines that tell of no failure go first', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	t.teardown(() => {
		clock.uninstall();
	});
	let finish: (() => void) | undefined;
	const written: string[] = [];
	const writer = new LineWriter((bytes, done) => {
		written.push(new TextDecoder().decode(bytes));
		finish = () => {
			done(undefined, bytes.length);
		};
	});
	writer.write('first', false);
	clock.tick(100);
	for (let number = 0; number < 300; number++) {
		clock.tick(5);
		writer.write('x'.repeat(1000), false);
	}

	const {droppedLineCount: dropped} = writer;
	t.true(dropped > 50, `${dropped} lines were dropped`);
	writer.write('request.ended outcome=failed', true);
	t.is(writer.droppedLineCount, dropped, 'the line of a failure is kept');

	finish?.();
	clock.tick(100);
	t.true(written[1]?.includes('outcome=failed'));
	t.true(written[1]?.includes(`event=log.dropped lines=${dropped}`));
});

test.serial('a second has room for so many ordinary lines', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout', 'performance']});
	t.teardown(() => {
		clock.uninstall();
	});
	const writer = new LineWriter(collecting().sink);
	for (let number = 0; number < 500; number++) {
		writer.write('line', false);
	}

	t.is(writer.droppedLineCount, 100);
	clock.tick(1000);
	writer.write('line', false);
	t.is(writer.droppedLineCount, 0, 'the count was written');
});

test.serial('what was written in part is gone on with', t => {
	const clock = fakeTimers.install({toFake: ['setTimeout', 'clearTimeout']});
	t.teardown(() => {
		clock.uninstall();
	});
	const written: string[] = [];
	const writer = new LineWriter((bytes, done) => {
		const taken = Math.min(4, bytes.length);
		written.push(new TextDecoder().decode(bytes.subarray(0, taken)));
		done(undefined, taken);
	});
	writer.write('abcdef', false);
	clock.tick(300);
	t.is(written.join(''), 'abcdef\n');
});
