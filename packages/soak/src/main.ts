#!/usr/bin/env node
/** Command line program that executes runs with randomized faults. */
import {Builtins, Cli, Command, Option} from 'clipanion';
import {planRun} from './lib/plan.js';
import {executeRun} from './lib/soak.js';
import type {RunPlan} from './lib/plan.js';
import type {RunResult} from './lib/soak.js';

const MILLIS_PER_MINUTE = 60_000;

class SoakCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Run random faults against real gateway processes.',
    details: `
      Executes one run per seed, from --seed on: --count runs, or as many as
      start within --minutes. Exits with 1 if a guarantee was violated.
    `,
  });

  seed = Option.String('--seed', '1', {description: 'First seed.'});
  count = Option.String('--count', {
    description: 'Number of runs; overrides --minutes.',
  });
  minutes = Option.String('--minutes', '1', {
    description: 'Time in which to start runs.',
  });
  jobs = Option.String('--jobs', '1', {description: 'Runs at the same time.'});

  gateways = Option.String('--gateways', {
    description: 'Number of instances; overrides that of the seed.',
  });

  private nextSeed = 0;
  private failedRuns = 0;
  private passedRuns = 0;

  override async execute(): Promise<number> {
    const firstSeed = Number(this.seed);
    const endTime = Date.now() + Number(this.minutes) * MILLIS_PER_MINUTE;
    const seedLimit = firstSeed + Number(this.count ?? Infinity);
    this.nextSeed = firstSeed;
    const runSeeds = async () => {
      const hasCount = this.count !== undefined;
      while (this.nextSeed < seedLimit && (hasCount || Date.now() < endTime)) {
        this.nextSeed += 1;
        await this.executeSeed(this.nextSeed - 1);
      }
    };
    await Promise.all(Array.from({length: Number(this.jobs)}, runSeeds));
    const {stdout} = this.context;
    stdout.write(`${this.passedRuns} passed, ${this.failedRuns} failed\n`);
    return this.failedRuns > 0 ? 1 : 0;
  }

  /** Executes a run; one that can't be carried out counts as failed. */
  private async executeSeed(seed: number): Promise<void> {
    try {
      this.recordResult(
        await executeRun({...planRun(seed), ...this.planOverrides()}),
      );
    } catch (error) {
      this.failedRuns += 1;
      this.context.stdout.write(`seed ${seed}: not carried out: ${error}\n`);
    }
  }

  /** Returns what the arguments replace in the plan of each seed. */
  private planOverrides(): Partial<RunPlan> {
    return this.gateways === undefined
      ? {}
      : {gatewayCount: Number(this.gateways)};
  }

  /** Prints the result of a run and counts it as passed or failed. */
  private recordResult(result: RunResult): void {
    const {
      plan,
      sentCount,
      servedCount,
      refusedCount,
      failedCount,
      copiedRefusals,
      violations,
      logLines,
    } = result;
    const faults = plan.faults.map(({kind}) => kind).join(' ');
    const {stdout} = this.context;
    stdout.write(
      `seed ${plan.seed}: ${plan.gatewayCount} gateways, ${sentCount} sent, ` +
        `${servedCount} served, ${refusedCount} refused, ${failedCount} failed, ${copiedRefusals} copies; ${faults}\n`,
    );
    for (const {guarantee, detail, requestIds} of violations) {
      stdout.write(
        `  BROKEN ${guarantee}: ${detail} ${requestIds.join(' ')}\n`,
      );
    }
    logLines.forEach(line => stdout.write(`  ${line}\n`));
    if (violations.length > 0) {
      this.failedRuns += 1;
    } else {
      this.passedRuns += 1;
    }
  }
}

const cli = new Cli({
  binaryName: 'citrontrestle-soak',
  binaryLabel: 'citrontrestle soak',
  binaryVersion: '0.1.0',
});
cli.register(SoakCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2));
