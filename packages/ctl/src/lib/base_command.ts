/** What all commands of the operators' tool share. */
import {Command, Option} from 'clipanion';
import {KeyValueClient} from '@citrontrestle/platform';
import {readDeclarations} from '@citrontrestle/operator';
import {
  formatSettingsError,
  readSettings,
  SystemClock,
} from '@citrontrestle/runtime';
import {CTL_SCHEMA} from './settings.js';
import type {CtlSettings} from './settings.js';
import type {Declarations} from '@citrontrestle/decisions';
import type {SettingsResult} from '@citrontrestle/runtime';

/** Exit codes. */
export enum Exit {
  Done = 0,
  /** The call did not do what was asked. */
  Failed = 1,
  /** The service could not be reached; try again. */
  Unavailable = 75,
  /** A file is wrong. */
  BadFile = 78,
}

/** Calls a second that the tool may make. */
const CALLS_PER_SECOND = 100;

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
  protected accept<T>(read: SettingsResult<T>): T | undefined {
    if (read.ok) {
      return read.value;
    }
    const lines = read.errors.map(formatSettingsError).join('\n');
    this.context.stderr.write(`${lines}\n`);
    return undefined;
  }

  /** Reads declarations, or prints their faults. */
  protected declarations(file: string): Declarations | undefined {
    return this.accept(readDeclarations(file));
  }
}

/** A command that talks to the platform. */
export abstract class PlatformCommand extends FileCommand {
  settingsFile = Option.String('--settings', 'ctl.yaml', {
    description: 'Settings of the tool.',
  });

  override async execute(): Promise<number> {
    const settings = this.accept(
      readSettings<CtlSettings>(this.settingsFile, CTL_SCHEMA),
    );
    if (settings === undefined) {
      return Exit.BadFile;
    }
    const keyValue = new KeyValueClient(
      {
        address: settings.keyValue,
        timeout: settings.timeoutMs,
        callsPerSecond: CALLS_PER_SECOND,
        burst: CALLS_PER_SECOND,
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
