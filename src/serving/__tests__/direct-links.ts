import type {EngineLinks} from '../../relay/engine-links.js';
import {DirectConnector} from '../../upstream/engine-connector.js';

/** Links of an instance whose own paths are whole. */
export const directLinks: Pick<EngineLinks, 'connectorTo' | 'findFault' | 'hasNone'> = {
	hasNone: false,
	connectorTo: ({host, port}) => new DirectConnector({host, port}),
	findFault: async () => 'engine',
};
