import test from 'ava';
import {traceRequest} from '../trace.js';

const time = (second: number) => `time=2026-12-03T10:00:0${second}.000Z level=info`;

const cases: Array<{name: string; lines: string[]; ending: string | undefined; count: number}> = [
	{
		name: 'a request that was rejected',
		lines: [
			String.raw`${time(1)} event=request.rejected instance=a request=r1 code=1008 status=404 reason="no route for host \"x\"" version=7`,
			`${time(1)} event=request.rejected instance=a request=r2 code=2001 status=401 reason=other version=7`,
		],
		ending: 'rejected by a with 404 (code 1008) under configuration 7: no route for host "x"; it has not run', count: 1,
	},
	{
		name: 'a request turned away',
		lines: [
			`${time(2)} event=request.ended instance=a request=r1 outcome=refused status=503 sent=0 duration_ms=1 code=3002 reason=overloaded`,
			`${time(1)} event=placement.refused instance=a request=r1 reason=overloaded candidates=14`,
		],
		ending: 'refused at a with 503 after 1 ms; because overloaded (code 3002); it has not run', count: 2,
	},
	{
		name: 'a stream that was broken off, from the logs of a bench with times ahead',
		lines: [
			`  12.4000 front-1 ${time(3)} event=request.ended instance=b request=r1 outcome=broken-off status=0 sent=2 engine=e2 ran=yes duration_ms=900 code=4003 reason="connection closed"`,
			`  12.1000 front-1 ${time(1)} event=request.attempt-failed instance=b request=r1 engine=e1 outcome=broken reason="read ECONNRESET"`,
		],
		ending: 'broken-off at b with 0 after 900 ms; because connection closed (code 4003); last engine e2; before that: e1 broken (read ECONNRESET); it may have run', count: 2,
	},
	{
		name: 'a request whose instance was killed', lines: [`${time(1)} event=placement.decided instance=a request=r1 engine=e1`], ending: undefined, count: 1,
	},
];

for (const {name, lines, ending, count} of cases) {
	test(`trace of ${name}`, t => {
		const found = traceRequest('r1', lines);

		t.is(found.ending, ending);
		t.is(found.lines.length, count);
		t.true(found.lines.every(line => line.startsWith('time=')));
	});
}

test('trace of a request refused for what engines had stated shows the last statement of each engine to its instance', t => {
	const pause = `${time(2)} event=engine.pause instance=a engine=e2 duration=3000`;
	const limit = `${time(3)} event=engine.limit instance=a engine=e1 limit=1.5 before=2 origin=response`;
	const {statements, lines, ending} = traceRequest('r1', [
		`${time(1)} event=engine.limit instance=a engine=e1 limit=2 origin=peer`,
		limit,
		`${time(2)} event=engine.limit instance=b engine=e1 limit=2 origin=response`,
		pause,
		`${time(4)} event=placement.refused instance=a request=r1 service=s reason=rate-limited candidates=2 retry_after=700`,
		`${time(4)} event=request.ended instance=a request=r1 outcome=refused status=503 sent=0 duration_ms=1 code=3002 reason="all ready engines limit their requests of service s"`,
		`${time(5)} event=engine.leaving instance=a engine=e1`,
	]);

	t.deepEqual(statements, [limit, pause]);
	t.is(lines.length, 2);
	t.is(ending, 'refused at a with 503 after 1 ms; because all ready engines limit their requests of service s (code 3002); it has not run');
});

test('trace of a request that was served shows no statements of engines', t => {
	const {statements} = traceRequest('r1', [
		`${time(1)} event=engine.limit instance=a engine=e1 limit=2 origin=peer`,
		`${time(2)} event=request.ended instance=a request=r1 outcome=answered status=200 sent=1 duration_ms=1 engine=e1 ran=yes`,
	]);

	t.deepEqual(statements, []);
});
