import { refusesConnections } from './refusesConnections.js'

/** Asks whether endpoints have ended; all that lose the same one at once ask once. */
export class TerminationProbe {
  private readonly pending = new Map<string, Promise<boolean>>()

  constructor (private readonly probe: (address: string) => Promise<boolean> = refusesConnections) {}

  async hasTerminated (address: string): Promise<boolean> {
    const known = this.pending.get(address)
    if (known !== undefined) return await known
    const asked = this.probe(address).finally(() => { this.pending.delete(address) })
    this.pending.set(address, asked)
    return await asked
  }
}
