/** Commands on budgets. */
import {Command, Option} from 'clipanion';
import {
  raise,
  readLedger,
  releaseInstance,
  UpdateOutcome,
  viewLedger,
} from '@citrontrestle/operator';
import {randomId} from '@citrontrestle/runtime';
import {Exit, PlatformCommand} from './base_command.js';
import type {BudgetView} from '@citrontrestle/operator';
import type {CtlSettings} from './settings.js';
import type {KeyValueClient} from '@citrontrestle/platform';

const EXITS: Record<UpdateOutcome, Exit> = {
  [UpdateOutcome.Done]: Exit.Done,
  [UpdateOutcome.Unchanged]: Exit.Done,
  [UpdateOutcome.Unavailable]: Exit.Unavailable,
};

/** Shows budgets as the ledger has them. */
export class BudgetShowCommand extends PlatformCommand {
  static override paths = [['budget', 'show']];
  static override usage = Command.Usage({
    description: 'Show budgets: granted, billed, out with entries, free.',
  });

  names = Option.Rest({name: 'BUDGET'});

  protected override async run(
    keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number> {
    const views: BudgetView[] = [];
    for (let number = 0; number < settings.partitions; number++) {
      const ledger = await readLedger(keyValue, number);
      views.push(...(ledger === undefined ? [] : viewLedger(ledger)));
    }
    const wanted = views.filter(
      view => this.names.length === 0 || this.names.includes(view.name),
    );
    this.print(wanted, wanted.flatMap(describe));
    return wanted.length > 0 ? Exit.Done : Exit.Failed;
  }
}

function describe(view: BudgetView): string[] {
  const {name, granted, billed, out, free, holders} = view;
  const head =
    `${name}: granted ${granted}, billed ${billed}, ` +
    `out ${out}, free ${free} tokens`;
  const rows = holders.map(
    one => `  ${one.holder} ${one.status} out ${one.out} billed ${one.billed}`,
  );
  return [head, ...rows];
}

/** Raises a budget. */
export class BudgetTopUpCommand extends PlatformCommand {
  static override paths = [['budget', 'top-up']];
  static override usage = Command.Usage({
    description: 'Raise a budget.',
    details: `
      A top-up counts once for each --id, however often it is sent. After a
      failure, send it again with the id that was printed.
    `,
  });

  name = Option.String({name: 'BUDGET'});
  tokens = Option.String({name: 'TOKENS'});
  id = Option.String('--id', {description: 'Identifier of the top-up.'});

  protected override async run(
    keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number> {
    const tokens = Number(this.tokens);
    if (!Number.isSafeInteger(tokens) || tokens <= 0) {
      this.context.stderr.write('TOKENS must be a whole number above 0\n');
      return Exit.Failed;
    }
    const id = this.id ?? randomId();
    this.context.stderr.write(`top-up id ${id}\n`);
    const {partitions} = settings;
    const outcome = await raise(keyValue, this.name, id, tokens, partitions);
    this.print({outcome, id}, [`${outcome} (id ${id})`]);
    return EXITS[outcome];
  }
}

/** Releases the shares of an instance that is gone. */
export class BudgetReleaseCommand extends PlatformCommand {
  static override paths = [['budget', 'release']];
  static override usage = Command.Usage({
    description: 'Return the shares of an instance that is gone.',
    details: `
      Only for an instance that the platform has removed: what a process that
      still runs spends afterwards can't be billed. The shares return once
      every open entry has written to the ledger; run it again to see.
    `,
  });

  instance = Option.String({name: 'INSTANCE'});
  gone = Option.Boolean('--instance-is-gone', false, {
    description: 'Required: you have seen that the instance is gone.',
  });

  protected override async run(
    keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number> {
    if (!this.gone) {
      this.context.stderr.write('state it with --instance-is-gone\n');
      return Exit.Failed;
    }
    const {partitions} = settings;
    const result = await releaseInstance(keyValue, this.instance, partitions);
    const lines = [
      `${result.outcome}: closed ${result.holders.join(', ') || 'nothing'}`,
    ];
    if (result.awaited.length > 0) {
      lines.push(`waiting for ${result.awaited.join(', ')}`);
    }
    this.print(result, lines);
    return EXITS[result.outcome];
  }
}
