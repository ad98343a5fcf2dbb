/** Base classes of the commands: output, files and the key-value client. */
import {Command, Option} from 'clipanion';
import {KeyValueClient} from '@citrontrestle/platform';
import {readDeclarations} from '@citrontrestle/operator';
import {
  formatSettingsError,
  readSettings,
  SystemClock,
} from '@citrontrestle/runtime';
import {CTL_SETTINGS_SCHEMA} from './settings.js';
import type {CtlSettings} from './settings.js';
import type {Declarations} from '@citrontrestle/decisions';
import type {SettingsResult} from '@citrontrestle/runtime';

/** Exit codes; 75 and 78 have the meanings of `sysexits.h`. */
export enum ExitCode {
  Success = 0,
  /** The command was refused, or found nothing to show. */
  Failure = 1,
  /** A service is unavailable; the command may be repeated. */
  Unavailable = 75,
  /** A file can't be read or fails validation. */
  InvalidFile = 78,
}

/** Maximum rate and burst of calls to the key-value service. */
const MAX_CALLS_PER_SECOND = 100;

/** A command that only reads local files. */
export abstract class FileCommand extends Command {
  json = Option.Boolean('--json', false, {
    description: 'Print the result as JSON.',
  });

  /** Prints `value` with `--json`, else `lines`, to the standard output. */
  protected print(value: unknown, lines: string[]): void {
    const text = this.json ? JSON.stringify(value) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
  }

  /**
   * Returns the value of a validated file. If there are errors, prints them to
   * the standard error and returns undefined.
   */
  protected unwrapOrPrintErrors<T>(result: SettingsResult<T>): T | undefined {
    if (result.ok) {
      return result.value;
    }
    const messages = result.errors.map(formatSettingsError).join('\n');
    this.context.stderr.write(`${messages}\n`);
    return undefined;
  }

  /** Reads and validates declarations; prints errors and returns undefined. */
  protected loadDeclarations(file: string): Declarations | undefined {
    return this.unwrapOrPrintErrors(readDeclarations(file));
  }
}

/** A command that calls the platform's key-value service. */
export abstract class PlatformCommand extends FileCommand {
  settingsFile = Option.String('--settings', 'ctl.yaml', {
    description: 'Settings file of the tool.',
  });

  override async execute(): Promise<number> {
    const settings = this.unwrapOrPrintErrors(
      readSettings<CtlSettings>(this.settingsFile, CTL_SETTINGS_SCHEMA),
    );
    if (settings === undefined) {
      return ExitCode.InvalidFile;
    }
    const keyValue = new KeyValueClient(
      {
        address: settings.keyValue,
        timeout: settings.timeoutMs,
        callsPerSecond: MAX_CALLS_PER_SECOND,
        burst: MAX_CALLS_PER_SECOND,
      },
      new SystemClock(),
    );
    try {
      return await this.run(keyValue, settings);
    } finally {
      keyValue.close();
    }
  }

  /**
   * Executes the command and returns its exit code. The client is closed
   * afterwards.
   */
  protected abstract run(
    keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number>;
}
