import { unreachable } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { formatSettingsError } from 'dotterelspur-settings'
import { loadNodeSettings, type LoadedSettings } from './loadNodeSettings.js'
import { startNode } from './Node.js'
import { NodeErrorKind, type NodeError } from './NodeError.js'
import { enableDefaultLog, NodeLogs } from './NodeLog.js'
import { NodePhase, NodeSignal, NodeSignalAction, nodeSignalAction, registerNodeSignals } from './nodeSignals.js'

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
 * requests in progress, hands over its leases and exits. Further signals change nothing.
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
  return await runNode(loaded.value)
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

/** Signals with which supervisors stop a process, also one that an operator drains already. */
const STOP_SIGNALS: ReadonlySet<NodeSignal> = new Set([NodeSignal.Terminate, NodeSignal.Interrupt])

const HANDLED_BY_YARGS: ReadonlySet<string> = new Set(['--help', '--version', 'completion'])

/** Signals are received from before the first listener opens; a request to drain that comes during the start is met after it. */
async function runNode (loaded: LoadedSettings): Promise<ExitCode> {
  const { id, failureDomain } = loaded.settings
  const logs = new NodeLogs(id, failureDomain)
  const clock = new SystemClock()
  let phase = NodePhase.Starting
  let onStop = (_atMs: number): void => {}
  const stopped = new Promise<number>((resolve) => { onStop = resolve })
  const signalled = new Promise<void>((resolve) => {
    registerNodeSignals((signal) => {
      const action = nodeSignalAction(phase, signal)
      logs.node(`signal ${signal} while ${phase}, action ${action}`)
      if (STOP_SIGNALS.has(signal)) onStop(clock.nowMs())
      if (action === NodeSignalAction.Drain) resolve()
    })
  })
  const started = await startNode(loaded)
  if (!started.ok) return report(started.error)
  const { beginGracePeriod } = started.value
  stopped.then((atMs) => { beginGracePeriod(clock.nowMs() - atMs) })
  phase = NodePhase.Serving
  await Promise.race([signalled, started.value.drainRequested])
  phase = NodePhase.Draining
  await started.value.drain()
  return ExitCode.Success
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
