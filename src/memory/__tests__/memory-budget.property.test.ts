import test from 'ava';
import fc from 'fast-check';
import {MemoryBudget, type MemoryReservation, memorySources} from '../memory-budget.js';

const ceiling = 1000;
const sourceLimit = 600;

const operation = fc.record({
	kind: fc.constantFrom('reserve' as const, 'resize' as const, 'release' as const, 'pin' as const),
	index: fc.nat(30),
	owner: fc.constantFrom('one', 'two', 'three'),
	source: fc.constantFrom(...memorySources),
	bytes: fc.nat(1200),
});

test('no sequence of reservations exceeds a limit, and what ends returns all its bytes', t => {
	const property = fc.property(fc.array(operation, {maxLength: 100}), operations => {
		const budget = new MemoryBudget({ceiling, sources: {'unread-answers': sourceLimit}, ownerShares: {'request-bodies': 0.75}});
		const kept: MemoryReservation[] = [];
		for (const {kind, index, owner, source, bytes} of operations) {
			const existing = kept[index % Math.max(1, kept.length)];
			switch (kind) {
				case 'reserve': {
					const reservation = budget.reserve({
						source, owner, bytes, giveUp: () => undefined,
					});
					kept.push(...(reservation ? [reservation] : []));
					break;
				}

				case 'resize': {
					existing?.resize(bytes);
					break;
				}

				case 'release': {
					existing?.release();
					break;
				}

				case 'pin': {
					existing?.pin();
					break;
				}
			}

			if (budget.total > ceiling || budget.usedBy('unread-answers') > sourceLimit || budget.total < 0) {
				return false;
			}

			if (budget.total !== memorySources.reduce((sum, name) => sum + budget.usedBy(name), 0)) {
				return false;
			}
		}

		for (const reservation of kept) {
			reservation.release();
		}

		return budget.total === 0;
	});
	t.notThrows(() => {
		fc.assert(property, {numRuns: Number(process.env.FUZZ_RUNS ?? 200), seed: Number(process.env.FUZZ_SEED ?? 1)});
	});
});
