/** The daemon as a library, for tests that run it in-process. */
export {Daemon} from './lib/daemon.js';
export {loadSettings} from './lib/settings/settings.js';
export type {Settings, SettingsError} from './lib/settings/settings.js';
export type {CellStatus, DaemonStatus} from './lib/admin/status.js';
