/**
 * SIGHUP, received as soon as this module is loaded: before there is a listener, its default action ends the process.
 *
 * @module
 */
import process from 'node:process';

let listener = (): void => undefined;

process.on('SIGHUP', () => {
	listener();
});

/** Sets the function that is called for each signal from now on. Earlier ones had no effect. */
export function onHangup(newListener: () => void): void {
	listener = newListener;
}
