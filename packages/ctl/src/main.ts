#!/usr/bin/env node
/** Entry point of the `citrontrestle-ctl` binary. */
import {Builtins, Cli} from 'clipanion';
import * as commands from './index.js';

const cli = new Cli({
  binaryName: 'citrontrestle-ctl',
  binaryLabel: 'citrontrestle command-line tool for operators',
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
