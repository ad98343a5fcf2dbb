#!/usr/bin/env node
/** The citrontrestle-ctl binary. */
import {Builtins, Cli} from 'clipanion';
import * as commands from './index.js';

const cli = new Cli({
  binaryName: 'citrontrestle-ctl',
  binaryLabel: 'citrontrestle operators’ tool',
  binaryVersion: '0.1.0',
});
cli.register(commands.CheckCommand);
cli.register(commands.PlanCommand);
cli.register(commands.ApplyCommand);
cli.register(commands.StatusCommand);
cli.register(commands.BudgetShowCommand);
cli.register(commands.BudgetTopUpCommand);
cli.register(commands.BudgetReleaseCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2));
