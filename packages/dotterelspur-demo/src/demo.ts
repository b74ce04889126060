#!/usr/bin/env node
import yargs from 'yargs'
import { SystemClock } from 'dotterelspur-clock'
import { DEFAULT_NODES, DEFAULT_SEED, startCluster } from './process/Cluster.js'
import { writeDescription } from './process/describe.js'
import { Narrator } from './request/Narrator.js'
import { Scenario } from './request/Scenario.js'

/** Slow enough for answers to take a second or two, so that a VM can be killed while they stream. */
const DEMO_TOKEN_MS = 40

enum ExitCode {
  Held = 0,
  Broken = 1
}

interface DemoArguments {
  readonly nodes: number
  readonly seed: number
  readonly keep: boolean
  readonly describe: string | undefined
}

function readArguments (): DemoArguments {
  return yargs(process.argv.slice(2))
    .scriptName('npm run demo --')
    .usage('$0\n\nStarts the whole system on loopback, kills a VM under load, and checks each promise.')
    .option('nodes', { type: 'number', default: DEFAULT_NODES, describe: 'number of nodes' })
    .option('seed', { type: 'number', default: DEFAULT_SEED, describe: 'seed of names, tokens and faults' })
    .option('keep', { type: 'boolean', default: false, describe: 'send nothing and run until SIGINT or SIGTERM' })
    .option('describe', { type: 'string', requiresArg: true, describe: 'file to write addresses and tokens to, once groups serve' })
    .check(({ nodes, seed }) => {
      if (!Number.isInteger(nodes) || nodes < 1) throw new Error('--nodes takes a whole number from 1')
      if (!Number.isInteger(seed)) throw new Error('--seed takes a whole number')
      return true
    })
    .strict()
    .parseSync()
}

/** Resolves at the first SIGINT or SIGTERM. Called before anything starts, so that an early signal is not lost. */
function nextSignal (): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => { resolve(signal) })
  })
}

async function runDemo (given: DemoArguments, narrator: Narrator): Promise<ExitCode> {
  const signalled = nextSignal()
  const starting = startCluster({ nodes: given.nodes, seed: given.seed, engine: given.keep ? {} : { tokenMs: DEMO_TOKEN_MS }, onProgress: (message) => { narrator.say(message) } })
  const earlySignal = await Promise.race([starting.then(() => undefined), signalled])
  const cluster = await starting
  try {
    if (earlySignal !== undefined) return ExitCode.Held
    if (given.describe !== undefined) await writeDescription(cluster, given.describe)
    if (given.keep) {
      narrator.say(`control address ${cluster.control.url}; runs until SIGINT or SIGTERM`)
      await signalled
      return ExitCode.Held
    }
    const checks = await Promise.race([new Scenario(cluster, narrator).run(), signalled.then(() => undefined)])
    if (checks === undefined) return ExitCode.Broken
    narrator.summary(checks)
    return checks.every((check) => check.held) ? ExitCode.Held : ExitCode.Broken
  } finally {
    await cluster.stop()
  }
}

const narrator = new Narrator(new SystemClock(), (line) => { console.log(line) })
try {
  process.exitCode = await runDemo(readArguments(), narrator)
} catch (error) {
  console.error(`the demo failed: ${(error as Error).message}`)
  process.exitCode = ExitCode.Broken
}
