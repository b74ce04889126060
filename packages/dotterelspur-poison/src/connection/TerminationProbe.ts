import { refusesConnections } from './refusesConnections.js'

/** Checks whether endpoints have terminated; concurrent checks of the same address share one probe. */
export class TerminationProbe {
  private readonly pending = new Map<string, Promise<boolean>>()

  constructor (private readonly probe: (address: string) => Promise<boolean> = refusesConnections) {}

  async hasTerminated (address: string): Promise<boolean> {
    const running = this.pending.get(address)
    if (running !== undefined) return await running
    const started = this.probe(address).finally(() => { this.pending.delete(address) })
    this.pending.set(address, started)
    return await started
  }
}
