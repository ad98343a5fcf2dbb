#!/usr/bin/env node
/** The citrontrestle-load command: runs a scenario and prints its results. */
import {Builtins, Cli, Command, Option} from 'clipanion';
import {readExperiment, runExperiment} from './lib/experiment.js';
import {describeRun} from './lib/table.js';
import {allGuaranteesHold} from './lib/verdict.js';

const DEFAULT_SEED = '1';

class RunCommand extends Command {
  static override paths = [['run']];
  static override usage = Command.Usage({
    description:
      'Run a scenario and compare answers with what ran and what was billed.',
    details: 'Exits with status 1 if a guarantee was violated.',
  });

  file = Option.String({name: 'SCENARIO.yaml'});
  seed = Option.String('--seed', DEFAULT_SEED, {description: 'Seed.'});
  json = Option.Boolean('--json', false, {
    description: 'Print the results as JSON.',
  });

  override async execute(): Promise<number> {
    const {stdout, stderr} = this.context;
    const experiment = readExperiment(this.file);
    const seed = Number(this.seed);
    const results = await runExperiment(experiment, seed, line => {
      stderr.write(`${line}\n`);
    });
    if (this.json) {
      stdout.write(`${JSON.stringify({seed, runs: results})}\n`);
    } else {
      stdout.write(`${results.flatMap(describeRun).join('\n')}\n`);
    }
    return results.every(result => allGuaranteesHold(result.verdict)) ? 0 : 1;
  }
}

const cli = new Cli({
  binaryName: 'citrontrestle-load',
  binaryLabel: 'citrontrestle load tool',
  binaryVersion: '0.1.0',
});
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2));
