/** Commands that check, compare and apply declarations. */
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

const UNREADABLE_MESSAGE =
  'could not read the configuration from the key-value service\n';

function formatChanges(changes: Change[]): string[] {
  if (changes.length === 0) {
    return ['no changes'];
  }
  return changes.map(({kind, part, name}) => `${kind} ${part} ${name}`);
}

/** Validates a file of declarations and prints the size of its sections. */
export class CheckCommand extends FileCommand {
  static override paths = [['check']];
  static override usage = Command.Usage({
    description: 'Validate a file of declarations.',
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

/** Shows the changes from the configuration in force to a file. */
export class PlanCommand extends PlatformCommand {
  static override paths = [['plan']];
  static override usage = Command.Usage({
    description: 'Show what applying a file of declarations would change.',
  });

  declarationsFile = Option.String({name: 'DECLARATIONS.yaml'});

  protected override async run(keyValue: KeyValueClient): Promise<number> {
    const declarations = this.loadDeclarations(this.declarationsFile);
    if (declarations === undefined) {
      return ExitCode.InvalidFile;
    }
    const current = await readConfiguration(keyValue);
    if (current === undefined) {
      this.context.stderr.write(UNREADABLE_MESSAGE);
      return ExitCode.Unavailable;
    }
    const {generation} = current.head;
    const changes = planChanges(current.declarations, declarations);
    const lines = [
      `changes from generation ${generation}:`,
      ...formatChanges(changes),
    ];
    this.print({generation, changes}, lines);
    return ExitCode.Success;
  }
}

/** Replaces the declarations in force with those of a file. */
export class ApplyCommand extends PlatformCommand {
  static override paths = [['apply']];
  static override usage = Command.Usage({
    description: 'Put a file of declarations into force.',
    details: `
      With --generation, the command fails if that generation is no longer in
      force, so that it doesn't undo the changes of another operator. Without
      it, the generation in force at the start of the command is used.
    `,
  });

  declarationsFile = Option.String({name: 'DECLARATIONS.yaml'});
  plannedGeneration = Option.String('--generation', {
    description: 'Generation that the plan was based on.',
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
      this.context.stderr.write(UNREADABLE_MESSAGE);
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
    if (this.plannedGeneration !== undefined) {
      return Number(this.plannedGeneration);
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
