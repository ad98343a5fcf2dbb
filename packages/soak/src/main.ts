#!/usr/bin/env node
/** The citrontrestle-soak command. */
import {Builtins, Cli, Command, Option} from 'clipanion';
import {playRun} from './lib/soak.js';
import type {RunResult} from './lib/soak.js';

/** Milliseconds in one minute. */
const MINUTE = 60_000;

class SoakCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Play runs with random faults on real gateway processes.',
    details: `
      Plays the seeds from --seed on: --count of them, or as many as begin
      within --minutes. Exits 1 when a promise was broken.
    `,
  });

  seed = Option.String('--seed', '1', {description: 'First seed.'});
  count = Option.String('--count', {description: 'Number of seeds.'});
  minutes = Option.String('--minutes', '1', {description: 'Time to play.'});
  jobs = Option.String('--jobs', '1', {description: 'Runs at the same time.'});

  private next = 0;
  private failed = 0;
  private passed = 0;

  override async execute(): Promise<number> {
    const first = Number(this.seed);
    const end = Date.now() + Number(this.minutes) * MINUTE;
    const last = first + Number(this.count ?? Infinity);
    this.next = first;
    const play = async () => {
      const bounded = this.count !== undefined;
      while (this.next < last && (bounded || Date.now() < end)) {
        this.next += 1;
        this.report(await playRun(this.next - 1));
      }
    };
    await Promise.all(Array.from({length: Number(this.jobs)}, play));
    const {stdout} = this.context;
    stdout.write(`${this.passed} passed, ${this.failed} failed\n`);
    return this.failed > 0 ? 1 : 0;
  }

  private report(result: RunResult): void {
    const {plan, sent, served, refused, failed, breaches, lines} = result;
    const faults = plan.faults.map(({kind}) => kind).join(' ');
    const {stdout} = this.context;
    stdout.write(
      `seed ${plan.seed}: ${plan.gateways} gateways, ${sent} sent, ` +
        `${served} served, ${refused} refused, ${failed} failed; ${faults}\n`,
    );
    for (const {promise, detail, requests} of breaches) {
      stdout.write(`  BROKEN ${promise}: ${detail} ${requests.join(' ')}\n`);
    }
    lines.forEach(line => stdout.write(`  ${line}\n`));
    if (breaches.length > 0) {
      this.failed += 1;
    } else {
      this.passed += 1;
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
