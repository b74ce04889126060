import { setTimeout as delay } from 'node:timers/promises'
import type { LoadTarget } from '../load/LoadTarget.js'
import { AdminClient } from './AdminClient.js'
import type { GroupSample, VersionSample } from './SoakEvidence.js'

const SAMPLE_INTERVAL_MS = 300
const CHANGE_EVERY_SAMPLES = 10

/** Polls the state of all nodes, and changes the teams' settings at intervals. */
export class SoakObserver {
  readonly groupSamples: GroupSample[] = []
  readonly versionSamples: VersionSample[] = []
  readonly modelVersions = new Set<string>()
  changesApplied = 0
  private readonly admins: readonly AdminClient[]
  private running = true
  private serving = 0
  private readonly loop: Promise<void>

  constructor (private readonly target: LoadTarget) {
    this.admins = target.admin.map((url, index) => new AdminClient(url, target.adminToken, index))
    this.loop = this.run()
  }

  /** Number of serving groups: the highest that any node reports. */
  get servingGroups (): number {
    return this.serving
  }

  async stop (): Promise<void> {
    this.running = false
    await this.loop
  }

  private async run (): Promise<void> {
    for (let number = 0; this.running; number++) {
      await this.sampleAll()
      if (number % CHANGE_EVERY_SAMPLES === CHANGE_EVERY_SAMPLES - 1) await this.change(number)
      await delay(SAMPLE_INTERVAL_MS)
    }
  }

  private async sampleAll (): Promise<void> {
    const samples = await Promise.all(this.admins.map(async (admin) => await admin.sample()))
    this.serving = 0
    for (const sample of samples) {
      if (sample === undefined) continue
      this.groupSamples.push(...sample.groups)
      this.versionSamples.push(...sample.versions)
      sample.modelVersions.forEach((version) => this.modelVersions.add(version))
      this.serving = Math.max(this.serving, sample.serving)
    }
  }

  private async change (number: number): Promise<void> {
    const { teams } = this.target
    const team = teams[number % teams.length]!.team
    const applied = await this.admins[number % this.admins.length]!.touchSettings(team, number)
    if (applied) this.changesApplied++
  }
}
