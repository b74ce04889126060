import { refusesConnections } from './refusesConnections.js'

/** Asks whether endpoints have ended; all that lose the same one at once ask once. */
export class EndedEndpoints {
  private readonly asked = new Map<string, Promise<boolean>>()

  constructor (private readonly ask: (address: string) => Promise<boolean> = refusesConnections) {}

  async hasEnded (address: string): Promise<boolean> {
    const known = this.asked.get(address)
    if (known !== undefined) return await known
    const asked = this.ask(address).finally(() => { this.asked.delete(address) })
    this.asked.set(address, asked)
    return await asked
  }
}
