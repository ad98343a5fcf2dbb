/** Commands on declarations. */
import {Command, Option} from 'clipanion';
import {
  applyDeclarations,
  ApplyOutcome,
  planChanges,
  readConfiguration,
} from '@citrontrestle/operator';
import {ExitCode, FileCommand, PlatformCommand} from './base_command.js';
import type {Change} from '@citrontrestle/operator';
import type {CtlSettings} from './settings.js';
import type {KeyValueClient} from '@citrontrestle/platform';

const UNREACHABLE_MESSAGE = 'the key-value service can not be reached\n';

function formatChanges(changes: Change[]): string[] {
  if (changes.length === 0) {
    return ['no changes'];
  }
  return changes.map(({kind, part, name}) => `${kind} ${part} ${name}`);
}

/** Checks a file of declarations. */
export class CheckCommand extends FileCommand {
  static override paths = [['check']];
  static override usage = Command.Usage({
    description: 'Check a file of declarations.',
  });

  declarationsFile = Option.String({name: 'DECLARATIONS.yaml'});

  override async execute(): Promise<number> {
    const declarations = this.loadDeclarations(this.declarationsFile);
    if (declarations === undefined) {
      return ExitCode.InvalidFile;
    }
    const {accounts, budgets, classes} = declarations;
    const counts = {
      accounts: accounts.length,
      budgets: budgets.length,
      classes: classes.length,
    };
    const lines = Object.entries(counts).map(
      ([section, count]) => `${section}: ${count}`,
    );
    this.print(counts, lines);
    return ExitCode.Success;
  }
}

/** Shows what an apply would change. */
export class PlanCommand extends PlatformCommand {
  static override paths = [['plan']];
  static override usage = Command.Usage({
    description: 'Show what an apply would change.',
  });

  declarationsFile = Option.String({name: 'DECLARATIONS.yaml'});

  protected override async run(keyValue: KeyValueClient): Promise<number> {
    const declarations = this.loadDeclarations(this.declarationsFile);
    if (declarations === undefined) {
      return ExitCode.InvalidFile;
    }
    const current = await readConfiguration(keyValue);
    if (current === undefined) {
      this.context.stderr.write(UNREACHABLE_MESSAGE);
      return ExitCode.Unavailable;
    }
    const {generation} = current.head;
    const changes = planChanges(current.declarations, declarations);
    const lines = [`on generation ${generation}:`, ...formatChanges(changes)];
    this.print({generation, changes}, lines);
    return ExitCode.Success;
  }
}

/** Puts declarations in force. */
export class ApplyCommand extends PlatformCommand {
  static override paths = [['apply']];
  static override usage = Command.Usage({
    description: 'Put declarations in force.',
    details: `
      With --generation the apply is refused if another operator was first;
      without it, the generation that stands is taken as planned on.
    `,
  });

  declarationsFile = Option.String({name: 'DECLARATIONS.yaml'});
  expectedGeneration = Option.String('--generation', {
    description: 'Generation that the plan was made on.',
  });

  protected override async run(
    keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number> {
    const declarations = this.loadDeclarations(this.declarationsFile);
    if (declarations === undefined) {
      return ExitCode.InvalidFile;
    }
    const baseGeneration = await this.readBaseGeneration(keyValue);
    if (baseGeneration === undefined) {
      this.context.stderr.write(UNREACHABLE_MESSAGE);
      return ExitCode.Unavailable;
    }
    const {partitions} = settings;
    const result = await applyDeclarations(
      keyValue,
      declarations,
      baseGeneration,
      partitions,
    );
    const {outcome, generation, changes} = result;
    const lines = [`${outcome}: generation ${generation}`];
    if (outcome === ApplyOutcome.Conflict) {
      lines.push(...formatChanges(changes));
    }
    this.print(result, lines);
    return EXIT_CODES[outcome];
  }

  private async readBaseGeneration(
    keyValue: KeyValueClient,
  ): Promise<number | undefined> {
    if (this.expectedGeneration !== undefined) {
      return Number(this.expectedGeneration);
    }
    return (await readConfiguration(keyValue))?.head.generation;
  }
}

const EXIT_CODES: Record<ApplyOutcome, ExitCode> = {
  [ApplyOutcome.Accepted]: ExitCode.Success,
  [ApplyOutcome.InForce]: ExitCode.Success,
  [ApplyOutcome.Conflict]: ExitCode.Failure,
  [ApplyOutcome.Unavailable]: ExitCode.Unavailable,
};
