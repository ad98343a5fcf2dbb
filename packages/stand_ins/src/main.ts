#!/usr/bin/env node
/** The citrontrestle-standin binary. */
import {Builtins, Cli, Command, Option} from 'clipanion';
import {
  formatSettingsError,
  HttpListener,
  readSettings,
  sendJson,
} from '@citrontrestle/runtime';
import {Group, GROUP_SCHEMA} from './lib/group.js';

/** Exit code for bad settings, as in sysexits. */
const EXIT_CONFIG = 78;

class RunCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Runs a platform and upstreams for tests.',
    details: `
      Prints its addresses as one JSON line. Faults are set by POST to /faults
      of the platform and of each upstream; GET /truth of the truth address
      tells what really ran.
    `,
  });

  settings = Option.String({name: 'SETTINGS.yaml'});

  override async execute(): Promise<number> {
    const read = readSettings(this.settings, GROUP_SCHEMA);
    if (!read.ok) {
      const lines = read.errors.map(formatSettingsError).join('\n');
      this.context.stderr.write(`${lines}\n`);
      return EXIT_CONFIG;
    }
    const group = new Group(read.value);
    const platform = await group.start();
    const listener = new HttpListener((_incoming, outgoing) => {
      sendJson(outgoing, 200, group.truth.runs);
    });
    const truth = await listener.listen(read.value.host, 0);
    this.context.stdout.write(`${JSON.stringify({platform, truth})}\n`);
    await new Promise<void>(resolve => {
      process.once('SIGTERM', () => resolve());
      process.once('SIGINT', () => resolve());
    });
    await Promise.all([group.stop(), listener.stop()]);
    return 0;
  }
}

const cli = new Cli({
  binaryName: 'citrontrestle-standin',
  binaryLabel: 'citrontrestle stand-ins',
  binaryVersion: '0.1.0',
});
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2));
