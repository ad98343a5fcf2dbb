#!/usr/bin/env node
/** The program `citrontrestle-standin`, which runs the stand-ins for tests. */
import {Builtins, Cli, Command, Option} from 'clipanion';
import {
  formatSettingsError,
  HttpListener,
  readSettings,
  sendJson,
} from '@citrontrestle/runtime';
import {StandInGroup, STAND_IN_GROUP_SCHEMA} from './lib/group.js';

/** Exit code for invalid settings: EX_CONFIG of sysexits.h. */
const EXIT_CONFIG = 78;

class RunCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description:
      'Runs stand-ins for the platform and its upstreams, for tests.',
    details: `
      Prints the addresses of the platform and of the run record as one JSON
      line. POST to /faults of the platform or of an upstream sets faults; GET
      /truth at the printed address "truth" returns the requests that the
      upstreams executed.
    `,
  });

  settings = Option.String({name: 'SETTINGS.yaml'});

  override async execute(): Promise<number> {
    const settingsResult = readSettings(this.settings, STAND_IN_GROUP_SCHEMA);
    if (!settingsResult.ok) {
      const lines = settingsResult.errors.map(formatSettingsError).join('\n');
      this.context.stderr.write(`${lines}\n`);
      return EXIT_CONFIG;
    }
    const group = new StandInGroup(settingsResult.value);
    const platformAddress = await group.start();
    const runsListener = new HttpListener((_incoming, outgoing) => {
      sendJson(outgoing, 200, group.runRecorder.runs);
    });
    const runsAddress = await runsListener.listen(settingsResult.value.host, 0);
    this.context.stdout.write(
      `${JSON.stringify({platform: platformAddress, truth: runsAddress})}\n`,
    );
    await new Promise<void>(resolve => {
      process.once('SIGTERM', () => resolve());
      process.once('SIGINT', () => resolve());
    });
    await Promise.all([group.stop(), runsListener.stop()]);
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
