/** What all commands of the operators' tool share. */
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

/** Exit codes. */
export enum ExitCode {
  Success = 0,
  /** The call did not do what was asked. */
  Failure = 1,
  /** The service could not be reached; try again. */
  Unavailable = 75,
  /** A file is wrong. */
  InvalidFile = 78,
}

/** Calls a second that the tool may make. */
const MAX_CALLS_PER_SECOND = 100;

/** A command that needs nothing but files. */
export abstract class FileCommand extends Command {
  json = Option.Boolean('--json', false, {
    description: 'Print one JSON object.',
  });

  /** Prints a value as JSON, or else lines for a person. */
  protected print(value: unknown, lines: string[]): void {
    const text = this.json ? JSON.stringify(value) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
  }

  /** Takes a checked file's value, or prints its faults. */
  protected unwrapOrPrintErrors<T>(result: SettingsResult<T>): T | undefined {
    if (result.ok) {
      return result.value;
    }
    const messages = result.errors.map(formatSettingsError).join('\n');
    this.context.stderr.write(`${messages}\n`);
    return undefined;
  }

  /** Reads declarations, or prints their faults. */
  protected loadDeclarations(file: string): Declarations | undefined {
    return this.unwrapOrPrintErrors(readDeclarations(file));
  }
}

/** A command that talks to the platform. */
export abstract class PlatformCommand extends FileCommand {
  settingsFile = Option.String('--settings', 'ctl.yaml', {
    description: 'Settings of the tool.',
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

  /** Does the work; returns the exit code. */
  protected abstract run(
    keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number>;
}
