/** Commands of `citrontrestle-ctl`, the command-line tool for operators. */
export * from './lib/base_command.js';
export * from './lib/budget_commands.js';
export * from './lib/configuration_commands.js';
export * from './lib/settings.js';
export * from './lib/status_command.js';
