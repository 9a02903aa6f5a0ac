import test from 'ava';
import {request} from 'undici';
import {ask, streamedText, wholeText} from './support/client.js';
import {ProcessFleet, testKey} from './support/processes.js';

/** Tokens of a stand-in's answer: one hash of the prompt and their numbers. */
function isOwnWholeAnswer(answer: string, tokens: number): boolean {
	const parts = answer.trim().split(' ');
	const hash = parts[0]!.split('-')[0]!;
	return parts.length === tokens && parts.every((part, index) => part === `${hash}-${index}`);
}

test.serial('requests through two entries come back whole and to their own callers', async t => {
	const fleet = await ProcessFleet.start();
	t.teardown(async () => fleet.stop());
	const questions = Array.from({length: 40}, (_, index) => ({
		entry: fleet.entries[index % 2]!, content: `question ${index}`, tokens: 3 + (index % 9), stream: index % 3 === 0,
	}));

	const answers = await Promise.all(questions.map(async ({entry, ...question}) => {
		const reply = await ask(entry.callers, question);
		t.is(reply.status, 200, `refused: ${reply.text}`);
		const answer = question.stream ? streamedText(reply) : {answer: wholeText(reply), isWhole: true};
		t.true(answer.isWhole);
		t.true(isOwnWholeAnswer(answer.answer, question.tokens), `not its own whole answer: ${answer.answer}`);
		return answer.answer.trim().split('-')[0]!;
	}));

	t.is(new Set(answers).size, questions.length);

	const service = await request(`http://${fleet.entries[1]!.callers}/v1/services/viide-app/lookup?case=3-20-1`, {
		method: 'POST',
		headers: {authorization: `Bearer ${testKey}`, 'carobquay-class': 'citation'},
		body: 'citation',
	});
	t.is(service.statusCode, 200);
	const text = await service.body.text();
	t.true(text.includes('/lookup?case=3-20-1'));
});
