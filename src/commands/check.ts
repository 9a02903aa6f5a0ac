/**
 * `carobquay check`: checks settings and configuration without an instance.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import {loadPlatformSettings} from '../../platform/settings.js';
import {parseConfiguration} from '../configuration/document.js';
import {CarobquayError, errorMessage} from '../errors/errors.js';
import {loadSettings} from '../settings/resolve.js';
import {print, printJson} from './output.js';

/** Options of the command. */
export type CheckOptions = {settings?: string; platformSettings?: string; configuration?: string; json?: boolean};

/**
 * Checks the named files.
 *
 * @throws {CarobquayError} 7001 or 6001 with every fault found in a file.
 */
export async function check({settings, platformSettings, configuration, json}: CheckOptions): Promise<void> {
	if (settings === undefined && platformSettings === undefined && configuration === undefined) {
		throw new CarobquayError('7002', {message: 'check needs --settings FILE, --platform-settings FILE or --configuration FILE'});
	}

	if (platformSettings !== undefined) {
		await checkPlatformSettings(platformSettings);
	}

	if (settings !== undefined) {
		await loadSettings(settings);
	}

	const counts = configuration === undefined ? undefined : await checkConfiguration(configuration);
	if (json) {
		printJson({ok: true, ...counts});
		return;
	}

	print(counts === undefined ? 'ok' : `ok: ${counts.pools} pools, ${counts.customers} customers, ${counts.classes} classes`);
}

async function checkConfiguration(file: string): Promise<{pools: number; customers: number; classes: number}> {
	const {pools, customers, classes} = parseConfiguration(await readFile(file, 'utf8'), 1);
	return {pools: pools.size, customers: customers.size, classes: classes.size};
}

/** Fields that are not known are passed over, as an instance does. */
async function checkPlatformSettings(file: string): Promise<void> {
	try {
		await loadPlatformSettings(file);
	} catch (error) {
		throw new CarobquayError('7001', {message: `${file}: ${errorMessage(error)}`, cause: error});
	}
}
