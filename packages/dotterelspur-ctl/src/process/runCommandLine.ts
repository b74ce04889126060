import yargs, { type Argv } from 'yargs'
import { failed, runProcedure, sleep, success, type Result } from 'dotterelspur'
import { CallEffectKind, callNodes, type AdminCall, type CallEffect } from '../connection/callNodes.js'
import type { Command, CommandArguments, CommandOutput, Signature } from './Command.js'
import { CommandEffectKind, type CommandEffect } from './CommandEffects.js'
import { CommandErrorKind, type CommandError } from './CommandError.js'
import type { CommandIo } from './CommandIo.js'
import { COMMANDS } from './commands.js'
import { ExitCode, describeExitCodes, exitCodeOf } from './ExitCode.js'

const REQUEST_TIMEOUT_MS = 15_000

/** Addresses and token; read only when a command calls a node, so that `validate` needs neither. */
interface Access {
  readonly addresses: readonly string[]
  readonly token: string
}

/** Runs one command line and returns the exit code. */
export async function runCommandLine (words: readonly string[], io: CommandIo): Promise<ExitCode> {
  let exitCode = ExitCode.Done
  const parser = createParser(async (command, given) => { exitCode = await runCommand(command, given, io) })
  try {
    await parser.parseAsync([...words])
  } catch (error) {
    io.writeError(`${(error as Error).message}\n`)
    return error instanceof UsageError ? ExitCode.Usage : ExitCode.Failed
  }
  return exitCode
}

/** The words on the command line are not accepted. */
class UsageError extends Error {}

function createParser (run: (command: Command, given: CommandArguments) => Promise<void>): Argv {
  const parser = yargs()
    .scriptName('dotterelctl')
    .usage('$0 <command>\n\nOperates a fleet of dotterelspur nodes.')
    .option('admin', { type: 'string', requiresArg: true, describe: 'base URL of a node\'s operators\' listener; given several times, or with commas, they are tried in turn. Default: DOTTERELCTL_ADMIN, separated by commas' })
    .option('token-file', { type: 'string', requiresArg: true, describe: 'file that holds the operator\'s token. Default: DOTTERELCTL_TOKEN_FILE, or the token itself in DOTTERELCTL_TOKEN' })
    .option('operator', { type: 'string', requiresArg: true, describe: 'your name for the audit trail. Default: DOTTERELCTL_OPERATOR, or USER' })
    .option('reason', { type: 'string', default: '', describe: 'why you make the change, for the audit trail' })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON in place of text and tables' })
    .epilogue(describeExitCodes())
    .completion('completion', 'print a script for shell completion')
    .demandCommand(1, 'name a command; --help lists them')
    .recommendCommands()
    .strict()
    .wrap(null)
    .exitProcess(false)
    .version(false)
    .fail((message, error) => { throw error ?? new UsageError(message) })
  for (const command of COMMANDS) addCommand(parser, command, run)
  return parser
}

function addCommand (parser: Argv, command: Command, run: (command: Command, given: CommandArguments) => Promise<void>): void {
  parser.command(
    command.usage,
    command.description,
    (builder) => {
      for (const [name, describe] of Object.entries(command.positionals)) builder.positional(name, { describe, type: 'string' })
      return builder.options(command.options).epilogue(describeExitCodes())
    },
    (given) => run(command, given as CommandArguments)
  )
}

async function runCommand (command: Command, given: CommandArguments, io: CommandIo): Promise<ExitCode> {
  const signature = readSignature(given, io)
  const result = await runProcedure<CommandEffect, Result<CommandOutput, CommandError>>(command.run(given, signature), {
    [CommandEffectKind.Call]: ({ call }) => callWithAccess(call, given, io),
    [CommandEffectKind.ReadFile]: ({ path }) => readFile(path, io),
    [CommandEffectKind.CreateChangeToken]: () => io.createChangeToken(),
    [CommandEffectKind.Wait]: async ({ durationMs }) => {
      await sleep(io.clock, durationMs)
      return null
    },
    [CommandEffectKind.Now]: () => io.clock.nowMs()
  })
  return result.ok ? report(result.value, given, io) : reportError(result.error, given, io)
}

function report (output: CommandOutput, given: CommandArguments, io: CommandIo): ExitCode {
  const text = given['json'] === true ? JSON.stringify(output.data, null, 2) : output.text
  io.writeOutput(text.endsWith('\n') ? text : `${text}\n`)
  return output.exitCode
}

function reportError (error: CommandError, given: CommandArguments, io: CommandIo): ExitCode {
  const text = given['json'] === true ? JSON.stringify({ error }, null, 2) : describeError(error)
  io.writeError(`${text}\n`)
  return exitCodeOf(error)
}

/** A conflict shows both texts' owners; the refused one is still in the operator's file. */
function describeError (error: CommandError): string {
  if (error.kind !== CommandErrorKind.Refused || error.error.kind !== 'conflict' || error.error.current === null) return error.message
  const { current } = error.error
  return `${error.message}\nversion ${current.version}, as it is now:\n\n${current.text}\n\nPut your change into this text and apply it with --based-on ${current.version}.`
}

function readSignature (given: CommandArguments, io: CommandIo): Signature {
  const { environment } = io
  const operator = String(given['operator'] ?? environment['DOTTERELCTL_OPERATOR'] ?? environment['USER'] ?? environment['LOGNAME'] ?? 'unnamed')
  return { operator, reason: String(given['reason'] ?? '') }
}

async function readFile (path: string, io: CommandIo): Promise<Result<Uint8Array, CommandError>> {
  try {
    return success(await io.readFile(path))
  } catch (error) {
    return failed({ kind: CommandErrorKind.File, message: `${path} can't be read: ${(error as Error).message}` })
  }
}

async function callWithAccess (call: AdminCall, given: CommandArguments, io: CommandIo): Promise<Result<unknown, CommandError>> {
  const access = await readAccess(given, io)
  if (!access.ok) return access
  const { addresses, token } = access.value
  return runProcedure<CallEffect, Result<unknown, CommandError>>(callNodes(addresses, call), {
    [CallEffectKind.Send]: ({ address }) => io.transport.send({
      method: call.method, url: address + call.path, token, body: call.body === null ? null : JSON.stringify(call.body), timeoutMs: REQUEST_TIMEOUT_MS
    }),
    [CallEffectKind.Wait]: async ({ durationMs }) => {
      await sleep(io.clock, durationMs)
      return null
    }
  })
}

async function readAccess (given: CommandArguments, io: CommandIo): Promise<Result<Access, CommandError>> {
  const addresses = readAddresses(given, io)
  const wrong = addresses.find((address) => !URL.canParse(address) || !address.startsWith('http'))
  if (addresses.length === 0) return usage('name a node\'s operators\' listener with --admin or DOTTERELCTL_ADMIN, such as http://127.0.0.1:8082')
  if (wrong !== undefined) return usage(`--admin: found "${wrong}"; accepted: http:// or https:// URLs`)
  const token = await readToken(given, io)
  return token.ok ? success({ addresses, token: token.value }) : token
}

function readAddresses (given: CommandArguments, io: CommandIo): readonly string[] {
  const listed = [given['admin'] ?? io.environment['DOTTERELCTL_ADMIN'] ?? ''].flat().map(String)
  return listed.flatMap((text) => text.split(',')).map((text) => text.trim().replace(/\/+$/, '')).filter((text) => text !== '')
}

/** A token on the command line would stand in the list of processes and in the shell's history: it is read from a file or the environment. */
async function readToken (given: CommandArguments, io: CommandIo): Promise<Result<string, CommandError>> {
  const file = (given['tokenFile'] as string | undefined) ?? io.environment['DOTTERELCTL_TOKEN_FILE']
  const direct = io.environment['DOTTERELCTL_TOKEN']
  if (given['tokenFile'] === undefined && direct !== undefined && direct !== '') return success(direct.trim())
  if (file === undefined || file === '') return usage('name the file that holds your token with --token-file or DOTTERELCTL_TOKEN_FILE, or put the token into DOTTERELCTL_TOKEN')
  const content = await readFile(file, io)
  return content.ok ? success(new TextDecoder().decode(content.value).trim()) : content
}

function usage (message: string): Result<never, CommandError> {
  return failed({ kind: CommandErrorKind.Usage, message })
}
