#!/usr/bin/env node
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { toCommandModule } from './process/BenchCommand.js'
import { daysCommand } from './process/commands/daysCommand.js'
import { experimentCommand } from './process/commands/experimentCommand.js'
import { latencyCommand } from './process/commands/latencyCommand.js'
import { loadCommand } from './process/commands/loadCommand.js'
import { reportCommand } from './process/commands/reportCommand.js'
import { soakCommand } from './process/commands/soakCommand.js'
import { slopesCommand } from './process/commands/slopesCommand.js'

await yargs(hideBin(process.argv))
  .scriptName('npm run bench --')
  .command(toCommandModule(loadCommand))
  .command(toCommandModule(experimentCommand))
  .command(toCommandModule(daysCommand))
  .command(toCommandModule(latencyCommand))
  .command(toCommandModule(slopesCommand))
  .command(toCommandModule(soakCommand))
  .command(toCommandModule(reportCommand))
  .demandCommand(1)
  .strict()
  .showHelpOnFail(false)
  .help()
  .parseAsync()
