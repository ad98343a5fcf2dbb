#!/usr/bin/env node
/** Command-line program that runs one entry. */
import {Builtins, Cli, Command, Option} from 'clipanion';
import VError from 'verror';
import {
  createLog,
  formatSettingsError,
  readSettings,
} from '@citrontrestle/runtime';
import {Entry} from './lib/entry.js';
import {ENTRY_SCHEMA} from './lib/settings.js';

/** Exit code for invalid settings: `EX_CONFIG` of sysexits.h. */
const EXIT_CONFIG = 78;

class RunCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Runs one entry of the fleet.',
    details:
      'SIGTERM or SIGINT finishes running requests and returns budget shares.',
    examples: [['Run with settings', 'citrontrestle-entry entry.yaml']],
  });

  settings = Option.String({name: 'SETTINGS.yaml'});

  override async execute(): Promise<number> {
    const result = readSettings(this.settings, ENTRY_SCHEMA);
    if (!result.ok) {
      const lines = result.errors.map(formatSettingsError).join('\n');
      this.context.stderr.write(`${lines}\n`);
      return EXIT_CONFIG;
    }
    const {instance, zone, log: level} = result.value;
    const log = createLog(level, {instance, zone});
    const entry = new Entry(result.value, log, () => {
      throw new VError(
        'an operator closed this process in the ledger; it must stop',
      );
    });
    const addresses = await entry.start();
    this.context.stdout.write(`${JSON.stringify(addresses)}\n`);
    await waitForStopSignal();
    await entry.drain();
    return 0;
  }
}

/**
 * Resolves at the first signal. The listeners stay, since a later signal would
 * otherwise end the process while requests are running.
 */
function waitForStopSignal(): Promise<void> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => resolve());
    process.on('SIGINT', () => resolve());
  });
}

const cli = new Cli({
  binaryName: 'citrontrestle-entry',
  binaryLabel: 'citrontrestle entry',
  binaryVersion: '0.1.0',
});
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2));
