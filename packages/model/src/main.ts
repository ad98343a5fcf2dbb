#!/usr/bin/env node
/** The citrontrestle-fuzz command: fuzzes the models of budgets and orders. */
import {Builtins, Cli, Command, Option} from 'clipanion';
import {fuzz} from './lib/fuzz.js';
import {fuzzOrders} from './lib/order_fuzz.js';
import {PlantedBug} from './lib/planted_bug.js';

class FuzzCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description:
      'Fuzz the decision logic on virtual time and check its invariants.',
    details: `
      The last line is a JSON object. After a violation it exits with 1 and
      prints the shrunk sequence. --plant names a bug to plant into the models,
      which the oracle should detect.
    `,
  });

  seed = Option.String('--seed', '1', {description: 'Seed.'});
  runs = Option.String('--runs', '200', {
    description: 'Number of sequences to try.',
  });
  plantedBug = Option.String('--plant', PlantedBug.None, {
    description: Object.values(PlantedBug).join(', '),
  });

  override async execute(): Promise<number> {
    const plantedBug = Object.values(PlantedBug).find(
      bug => bug === this.plantedBug,
    );
    if (plantedBug === undefined) {
      this.context.stderr.write(`unknown planted bug: ${this.plantedBug}\n`);
      return 1;
    }
    const seed = Number(this.seed);
    const runs = Number(this.runs);
    const results = [
      fuzz({plantedBug}, seed, runs),
      fuzzOrders(plantedBug, seed, runs),
    ];
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
