/** Commands that show budgets, top them up and release their shares. */
import {Command, Option} from 'clipanion';
import {
  topUpBudget,
  readLedger,
  releaseInstance,
  UpdateOutcome,
  viewLedger,
} from '@citrontrestle/operator';
import {randomId} from '@citrontrestle/runtime';
import {ExitCode, PlatformCommand} from './base_command.js';
import type {BudgetView} from '@citrontrestle/operator';
import type {CtlSettings} from './settings.js';
import type {KeyValueClient} from '@citrontrestle/platform';

const EXIT_CODES: Record<UpdateOutcome, ExitCode> = {
  [UpdateOutcome.Done]: ExitCode.Success,
  [UpdateOutcome.Unchanged]: ExitCode.Success,
  [UpdateOutcome.Unavailable]: ExitCode.Unavailable,
};

/** Shows the given budgets, or all budgets, as recorded in the ledger. */
export class BudgetShowCommand extends PlatformCommand {
  static override paths = [['budget', 'show']];
  static override usage = Command.Usage({
    description:
      'Show tokens of budgets: granted, billed, out (held by entries), free.',
  });

  budgetNames = Option.Rest({name: 'BUDGET'});

  protected override async run(
    keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number> {
    const views: BudgetView[] = [];
    for (let partition = 0; partition < settings.partitions; partition++) {
      const ledger = await readLedger(keyValue, partition);
      views.push(...(ledger === undefined ? [] : viewLedger(ledger)));
    }
    const selectedViews = views.filter(
      view =>
        this.budgetNames.length === 0 || this.budgetNames.includes(view.name),
    );
    this.print(selectedViews, selectedViews.flatMap(formatBudget));
    return selectedViews.length > 0 ? ExitCode.Success : ExitCode.Failure;
  }
}

function formatBudget(view: BudgetView): string[] {
  const {name, granted, billed, out, free, holders} = view;
  const summary =
    `${name}: granted ${granted}, billed ${billed}, ` +
    `out ${out}, free ${free} tokens`;
  const holderLines = holders.map(
    share =>
      `  ${share.holder} ${share.status} out ${share.out} billed ${share.billed}`,
  );
  return [summary, ...holderLines];
}

/** Adds tokens to a budget. */
export class BudgetTopUpCommand extends PlatformCommand {
  static override paths = [['budget', 'top-up']];
  static override usage = Command.Usage({
    description: 'Add tokens to a budget.',
    details: `
      Top-ups with the same --id take effect only once. After a failure, run
      the command again with the id that was printed.
    `,
  });

  budgetName = Option.String({name: 'BUDGET'});
  tokens = Option.String({name: 'TOKENS'});
  topUpId = Option.String('--id', {description: 'Identifier of the top-up.'});

  protected override async run(
    keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number> {
    const tokens = Number(this.tokens);
    if (!Number.isSafeInteger(tokens) || tokens <= 0) {
      this.context.stderr.write('TOKENS must be a whole number above 0\n');
      return ExitCode.Failure;
    }
    const id = this.topUpId ?? randomId();
    this.context.stderr.write(`top-up id ${id}\n`);
    const {partitions} = settings;
    const outcome = await topUpBudget(
      keyValue,
      this.budgetName,
      id,
      tokens,
      partitions,
    );
    this.print({outcome, id}, [`${outcome} (id ${id})`]);
    return EXIT_CODES[outcome];
  }
}

/** Releases the shares of an instance that no longer exists. */
export class BudgetReleaseCommand extends PlatformCommand {
  static override paths = [['budget', 'release']];
  static override usage = Command.Usage({
    description: 'Return the unspent tokens of an instance that is gone.',
    details: `
      Use this only for an instance that the platform has removed: tokens that
      a process spends after its release can't be billed. The tokens return to
      their budgets once every open entry has acknowledged the release by a
      write to the ledger. To see which entries have not, run the command again.
    `,
  });

  instance = Option.String({name: 'INSTANCE'});
  isInstanceGone = Option.Boolean('--instance-is-gone', false, {
    description: 'Required: confirms that the instance no longer exists.',
  });

  protected override async run(
    keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number> {
    if (!this.isInstanceGone) {
      this.context.stderr.write(
        'confirm with --instance-is-gone that the instance no longer exists\n',
      );
      return ExitCode.Failure;
    }
    const {partitions} = settings;
    const result = await releaseInstance(keyValue, this.instance, partitions);
    const lines = [
      `${result.outcome}: closed ${result.holders.join(', ') || 'nothing'}`,
    ];
    if (result.awaited.length > 0) {
      lines.push(
        `waiting for acknowledgement from ${result.awaited.join(', ')}`,
      );
    }
    this.print(result, lines);
    return EXIT_CODES[result.outcome];
  }
}
