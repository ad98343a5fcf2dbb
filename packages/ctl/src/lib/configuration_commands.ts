/** Commands on declarations. */
import {Command, Option} from 'clipanion';
import {
  apply,
  ApplyOutcome,
  planChanges,
  readConfiguration,
} from '@citrontrestle/operator';
import {Exit, FileCommand, PlatformCommand} from './base_command.js';
import type {Change} from '@citrontrestle/operator';
import type {CtlSettings} from './settings.js';
import type {KeyValueClient} from '@citrontrestle/platform';

const UNREACHED = 'the key-value service can not be reached\n';

function describe(changes: Change[]): string[] {
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

  file = Option.String({name: 'DECLARATIONS.yaml'});

  override async execute(): Promise<number> {
    const declarations = this.declarations(this.file);
    if (declarations === undefined) {
      return Exit.BadFile;
    }
    const {accounts, budgets, classes} = declarations;
    const counts = {
      accounts: accounts.length,
      budgets: budgets.length,
      classes: classes.length,
    };
    const lines = Object.entries(counts).map(([part, n]) => `${part}: ${n}`);
    this.print(counts, lines);
    return Exit.Done;
  }
}

/** Shows what an apply would change. */
export class PlanCommand extends PlatformCommand {
  static override paths = [['plan']];
  static override usage = Command.Usage({
    description: 'Show what an apply would change.',
  });

  file = Option.String({name: 'DECLARATIONS.yaml'});

  protected override async run(keyValue: KeyValueClient): Promise<number> {
    const declarations = this.declarations(this.file);
    if (declarations === undefined) {
      return Exit.BadFile;
    }
    const standing = await readConfiguration(keyValue);
    if (standing === undefined) {
      this.context.stderr.write(UNREACHED);
      return Exit.Unavailable;
    }
    const {generation} = standing.head;
    const changes = planChanges(standing.declarations, declarations);
    const lines = [`on generation ${generation}:`, ...describe(changes)];
    this.print({generation, changes}, lines);
    return Exit.Done;
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

  file = Option.String({name: 'DECLARATIONS.yaml'});
  generation = Option.String('--generation', {
    description: 'Generation that the plan was made on.',
  });

  protected override async run(
    keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number> {
    const declarations = this.declarations(this.file);
    if (declarations === undefined) {
      return Exit.BadFile;
    }
    const base = await this.base(keyValue);
    if (base === undefined) {
      this.context.stderr.write(UNREACHED);
      return Exit.Unavailable;
    }
    const {partitions} = settings;
    const result = await apply(keyValue, declarations, base, partitions);
    const {outcome, generation, changes} = result;
    const lines = [`${outcome}: generation ${generation}`];
    if (outcome === ApplyOutcome.Conflict) {
      lines.push(...describe(changes));
    }
    this.print(result, lines);
    return EXITS[outcome];
  }

  private async base(keyValue: KeyValueClient): Promise<number | undefined> {
    if (this.generation !== undefined) {
      return Number(this.generation);
    }
    return (await readConfiguration(keyValue))?.head.generation;
  }
}

const EXITS: Record<ApplyOutcome, Exit> = {
  [ApplyOutcome.Accepted]: Exit.Done,
  [ApplyOutcome.InForce]: Exit.Done,
  [ApplyOutcome.Conflict]: Exit.Failed,
  [ApplyOutcome.Unavailable]: Exit.Unavailable,
};
