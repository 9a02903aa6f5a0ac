import test from 'ava';
import {PeerContacts} from '../peer-contacts.js';

const cases: Array<{address: string; isContacted: boolean}> = [
	{address: '10.1.2.3', isContacted: true},
	{address: '', isContacted: false},
	{address: 'front-1', isContacted: false},
	{address: '300.1.2.3', isContacted: false},
	{address: '10.1.2.3:80', isContacted: false},
	{address: '10.1.2.3\u0000', isContacted: false},
];

for (const {address, isContacted} of cases) {
	// Guards against lookups of names that another writer has left in the list of instances.
	test(`${JSON.stringify(address)} is ${isContacted ? 'contacted' : 'no address of an instance'}`, t => {
		const contacts = new PeerContacts();

		t.is(contacts.add(address, 'peer-list'), isContacted);
		t.deepEqual(contacts.nextRound(), isContacted ? [{address, replyRequest: 'peer-list'}] : []);
		t.deepEqual(contacts.firstContacts, isContacted ? [address] : []);
	});
}
