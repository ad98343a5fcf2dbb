#!/usr/bin/env node
/** The citrontrestle-fuzz command. */
import {Builtins, Cli, Command, Option} from 'clipanion';
import {fuzz} from './lib/fuzz.js';
import {fuzzOrders} from './lib/order_fuzz.js';
import {Plant} from './lib/plant.js';

class FuzzCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Fuzz the decisions against the oracle, on virtual time.',
    details: `
      The last line is a JSON object. Exits 1 on a violation, with the shrunk
      case. --plant names a planted fault, which the oracle should find.
    `,
  });

  seed = Option.String('--seed', '1', {description: 'Seed.'});
  runs = Option.String('--runs', '200', {description: 'Sequences to try.'});
  plant = Option.String('--plant', Plant.None, {
    description: Object.values(Plant).join(', '),
  });

  override async execute(): Promise<number> {
    const plant = Object.values(Plant).find(one => one === this.plant);
    if (plant === undefined) {
      this.context.stderr.write(`no planted fault ${this.plant}\n`);
      return 1;
    }
    const seed = Number(this.seed);
    const runs = Number(this.runs);
    const results = [fuzz({plant}, seed, runs), fuzzOrders(plant, seed, runs)];
    const counts = {runs: 0, steps: 0, violations: 0};
    for (const result of results) {
      counts.runs += result.runs;
      counts.steps += result.steps;
      counts.violations += result.violations;
      if (result.counterexample !== '') {
        const text = `seed ${seed}: ${result.counterexample}\n`;
        this.context.stdout.write(text);
      }
    }
    this.context.stdout.write(`${JSON.stringify(counts)}\n`);
    return counts.violations > 0 ? 1 : 0;
  }
}

const cli = new Cli({
  binaryName: 'citrontrestle-fuzz',
  binaryLabel: 'citrontrestle fuzzer',
  binaryVersion: '0.1.0',
});
cli.register(FuzzCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2));
