#!/usr/bin/env node
import { runCommandLine } from './process/CommandLine.js'

process.exitCode = await runCommandLine(process.argv.slice(2))
