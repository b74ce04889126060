import { once } from 'node:events'
import { unreachable } from 'dotterelspur'
import { formatSettingsError } from 'dotterelspur-settings'
import { loadNodeSettings } from './loadNodeSettings.js'
import { startNode, type RunningNode } from './Node.js'
import { NodeErrorKind, type NodeError } from './NodeError.js'
import { enableDefaultLog } from './NodeLog.js'

/** Exit codes of `dotterelspur`, as docs/operators/node.md lists them. */
export enum ExitCode {
  Success = 0,
  /** A listener could not be opened. */
  StartFailed = 1,
  /** The command line or the settings file is invalid. */
  InvalidInput = 2
}

interface NodeArguments {
  readonly settings: string
  readonly check: boolean
}

/**
 * Runs the node until it is asked to stop, and returns the exit code.
 *
 * SIGTERM, SIGINT and a drain request of an operator start a drain: the node leaves the directory, finishes the
 * requests in progress, hands over its leases and exits. A second signal ends the process at once.
 */
export async function runCommandLine (commandLine: readonly string[]): Promise<ExitCode> {
  const parsed = await readArguments(commandLine)
  if (parsed === null) return ExitCode.InvalidInput
  const loaded = loadNodeSettings(parsed.settings)
  if (!loaded.ok) return report(loaded.error)
  if (parsed.check) {
    console.log(`${parsed.settings}: valid`)
    return ExitCode.Success
  }
  enableDefaultLog()
  const started = await startNode(loaded.value)
  if (!started.ok) return report(started.error)
  await runUntilSignal(started.value)
  return ExitCode.Success
}

/** Loads yargs only when the arguments are read, because it takes memory that a running node does not need. */
async function readArguments (commandLine: readonly string[]): Promise<NodeArguments | null> {
  const { default: yargs } = await import('yargs')
  let valid = true
  const parsed = await yargs([...commandLine])
    .scriptName('dotterelspur')
    .usage('$0 --settings <file>\n\nRuns one node of dotterelspur.')
    .option('settings', { type: 'string', demandOption: true, requiresArg: true, describe: 'The node\'s INI settings file' })
    .option('check', { type: 'boolean', default: false, describe: 'Check the settings and exit' })
    .completion('completion', 'Print a script for shell completion')
    .epilogue('Exit codes: 0 stopped after a drain, 1 could not start, 2 invalid arguments or settings.')
    .strict()
    .exitProcess(false)
    .fail((message, error) => {
      valid = false
      console.error(message ?? error?.message)
    })
    .parseAsync()
  if (!valid) return null
  if (commandLine.some((argument) => HANDLED_BY_YARGS.has(argument))) process.exit(ExitCode.Success)
  return { settings: parsed.settings, check: parsed.check }
}

const HANDLED_BY_YARGS: ReadonlySet<string> = new Set(['--help', '--version', 'completion'])

async function runUntilSignal (node: RunningNode): Promise<void> {
  const draining = new AbortController()
  await Promise.race([
    once(process, 'SIGTERM', { signal: draining.signal }),
    once(process, 'SIGINT', { signal: draining.signal }),
    node.drainRequested
  ])
  draining.abort()
  process.once('SIGTERM', () => process.exit(ExitCode.StartFailed))
  process.once('SIGINT', () => process.exit(ExitCode.StartFailed))
  await node.drain()
}

function report (error: NodeError): ExitCode {
  console.error(describe(error))
  return error.kind === NodeErrorKind.ListenFailed ? ExitCode.StartFailed : ExitCode.InvalidInput
}

function describe (error: NodeError): string {
  switch (error.kind) {
    case NodeErrorKind.UnreadableFile: return `cannot read ${error.path}: ${error.reason}`
    case NodeErrorKind.InvalidSettings: return formatSettingsError(error.error)
    case NodeErrorKind.ListenFailed: return `cannot listen on ${error.address}: ${error.reason}`
    default: return unreachable(error)
  }
}
