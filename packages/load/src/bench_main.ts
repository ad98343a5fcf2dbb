#!/usr/bin/env node
/** The citrontrestle-bench command: runs all benchmarks and prints them. */
import {Builtins, Cli, Command, Option} from 'clipanion';
import {runAllBenchmarks} from './lib/bench.js';
import {formatTable} from './lib/table.js';

class BenchCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Measure how the cost of decisions grows with their load.',
    details:
      'Run with node --expose-gc; else garbage distorts the memory figures.',
  });

  json = Option.Boolean('--json', false, {
    description: 'Print the results as JSON.',
  });

  override async execute(): Promise<number> {
    const measures = runAllBenchmarks();
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify({measures})}\n`);
      return 0;
    }
    for (const {name, unit, points, slope} of measures) {
      const rows = points.map(({size, ns, bytes}) => [
        size,
        Math.round(ns),
        bytes,
      ]);
      const lines = formatTable([[unit, 'ns', 'bytes'], ...rows]);
      const growthLine =
        `per additional unit: ${slope.ns.toFixed(3)} ns, ` +
        `${slope.bytes.toFixed(1)} bytes`;
      this.context.stdout.write(
        `${name}\n${lines.join('\n')}\n${growthLine}\n\n`,
      );
    }
    return 0;
  }
}

const cli = new Cli({binaryName: 'citrontrestle-bench'});
cli.register(BenchCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2));
