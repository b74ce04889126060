import type { Dispatcher } from 'undici'
import { exchange, ExchangeKind } from './CallHttp.js'

/** What a caller keeps of a directory answer. */
export interface Directory {
  readonly addresses: readonly string[]
  /** The home of the first address, for the ids of requests that may run once; null before the first answer. */
  readonly home: string | null
  readonly expiresAtMs: number
}

interface DirectoryAnswer {
  readonly entries?: ReadonlyArray<{ readonly address: string, readonly home: string }>
  readonly ttlMs?: number
}

const DEFAULT_TTL_MS = 5_000
const TIMEOUT_MS = 2_000

/** Asks the system which addresses to use, as callers do, and keeps the answer for its time to live. */
export class EntryDirectory {
  private directory: Directory

  constructor (private readonly known: readonly string[], private readonly token: string, private readonly dispatcher: Dispatcher) {
    this.directory = { addresses: known, home: null, expiresAtMs: 0 }
  }

  /** The addresses to try, in order. Asks when the answer that is kept has expired. */
  async current (): Promise<Directory> {
    if (Date.now() < this.directory.expiresAtMs) return this.directory
    this.directory = { ...this.directory, expiresAtMs: Date.now() + TIMEOUT_MS }
    for (const address of [...this.directory.addresses, ...this.known]) {
      const fetched = await this.ask(address)
      if (fetched === undefined) continue
      this.directory = fetched
      break
    }
    return this.directory
  }

  private async ask (address: string): Promise<Directory | undefined> {
    const headers = { authorization: `Bearer ${this.token}` }
    const reply = await exchange({ url: `${address}/v1/entries`, method: 'GET', headers, body: null }, this.dispatcher, AbortSignal.timeout(TIMEOUT_MS))
    if (reply.kind !== ExchangeKind.Response) return undefined
    try {
      const text = await reply.response.body.text()
      return reply.response.statusCode === 200 ? readDirectory(JSON.parse(text) as DirectoryAnswer) : undefined
    } catch {
      return undefined
    }
  }
}

function readDirectory (answer: DirectoryAnswer): Directory | undefined {
  const [first] = answer.entries ?? []
  if (first === undefined) return undefined
  return { addresses: answer.entries!.map((entry) => entry.address), home: first.home, expiresAtMs: Date.now() + (answer.ttlMs ?? DEFAULT_TTL_MS) }
}
