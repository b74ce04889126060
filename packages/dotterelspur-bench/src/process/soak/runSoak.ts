import { setTimeout as delay } from 'node:timers/promises'
import { createRandom } from 'dotterelspur'
import { startDemo } from '../DemoProcess.js'
import type { LoadRecorder } from '../load/LoadRecorder.js'
import type { LoadTarget } from '../load/LoadTarget.js'
import { assignServices } from '../load/assignServices.js'
import { runLoad } from '../load/runLoad.js'
import { MIXES } from '../load/WorkloadMix.js'
import { findViolations } from './checks.js'
import { ControlClient } from './ControlClient.js'
import { FaultTargetKind, planFaults } from './FaultSchedule.js'
import type { FaultOrder, PlannedFault } from './FaultSchedule.js'
import type { FaultEvent, SoakEvidence, Violation } from './SoakEvidence.js'
import { SoakObserver } from './SoakObserver.js'

export interface SoakOptions {
  readonly seed: number
  readonly nodes: number
  readonly durationMs: number
  readonly requestsPerSecond: number
  /** Mean time between the starts of two faults. */
  readonly faultIntervalMs: number
  readonly progress: (line: string) => void
}

export interface SoakResult {
  readonly evidence: SoakEvidence
  readonly violations: readonly Violation[]
  readonly recorder: LoadRecorder
  readonly changesApplied: number
  readonly servingGroupsAtEnd: number
  readonly logPath: string
}

const FIRST_FAULT_MS = 2_000
/** Time under load after the last fault is reverted, for repairs. */
const CALM_MS = 8_000
const CALL_TIMEOUT_MS = 45_000
const BURST = { burstFactor: 2, burstEveryMs: 10_000, burstLengthMs: 2_000 }

/** Runs the system under load and faults, and then checks the callers' observations against the stand-ins' ledger. */
export async function runSoak (options: SoakOptions): Promise<SoakResult> {
  const demo = await startDemo({ nodes: options.nodes, seed: options.seed })
  let keepLog = true
  try {
    const target = await assignServices(demo.target)
    const control = new ControlClient(target.control)
    const observer = new SoakObserver(target)
    const faults = await planFor(options, control)
    const driver = new FaultDriver(control, options.progress)
    const faultsDone = driver.run(faults)
    const load = await runLoad({
      target,
      arrivals: { requestsPerSecond: options.requestsPerSecond, durationMs: options.durationMs, ...BURST },
      mixes: MIXES,
      seed: options.seed,
      timeoutMs: CALL_TIMEOUT_MS,
      versions: await modelVersions(observer),
      progress: options.progress
    })
    await faultsDone
    await observer.stop()
    const evidence = await collect(target, control, driver.events, load, observer)
    const violations = findViolations(evidence)
    keepLog = violations.length > 0
    return { evidence, violations, recorder: load, changesApplied: observer.changesApplied, servingGroupsAtEnd: observer.servingGroups, logPath: demo.logPath }
  } finally {
    await demo.stop(keepLog)
  }
}

async function planFor (options: SoakOptions, control: ControlClient): Promise<PlannedFault[]> {
  const vms = await control.vms()
  const fabricDomains = [...new Set(vms.map((vm) => vm.fabricDomain).filter((id) => id !== ''))].sort()
  const settings = {
    seed: options.seed,
    firstAtMs: FIRST_FAULT_MS,
    lastClearAtMs: options.durationMs - CALM_MS,
    meanIntervalMs: options.faultIntervalMs,
    vms: vms.map((vm) => vm.vm).sort(),
    fabricDomains,
    nodes: options.nodes
  }
  return planFaults(settings, createRandom(options.seed))
}

/** Model versions that may answer. The soak's changes of settings do not affect them. */
async function modelVersions (observer: SoakObserver): Promise<readonly string[]> {
  while (observer.modelVersions.size === 0) await delay(100)
  return [...observer.modelVersions]
}

async function collect (target: LoadTarget, control: ControlClient, events: readonly FaultEvent[], load: LoadRecorder, observer: SoakObserver): Promise<SoakEvidence> {
  return {
    calls: load.records,
    ledger: await control.ledger(),
    events,
    vms: await control.vms(),
    groupSamples: observer.groupSamples,
    versionSamples: observer.versionSamples,
    entries: target.entries
  }
}

/** Makes the planned calls at their times, and records when each was made. */
class FaultDriver {
  readonly events: FaultEvent[] = []

  constructor (private readonly control: ControlClient, private readonly progress: (line: string) => void) {}

  async run (faults: readonly PlannedFault[]): Promise<void> {
    const steps = faults.flatMap((fault) => [
      { atMs: fault.atMs, fault, order: fault.order },
      { atMs: fault.clearAtMs, fault, order: fault.clear }
    ]).sort((left, right) => left.atMs - right.atMs)
    const startedAtMs = Date.now()
    for (const { atMs, fault, order } of steps) {
      await delay(Math.max(0, startedAtMs + atMs - Date.now()))
      await this.give(fault.targetKind, fault.target, order)
    }
  }

  private async give (targetKind: FaultTargetKind, target: string, order: FaultOrder): Promise<void> {
    this.events.push({ atMs: Date.now(), targetKind, target, ...order })
    this.progress(`${targetKind} ${target}: ${order.kind}`)
    try {
      await this.control.fault(targetKind, target, order)
    } catch (error) {
      this.progress(String(error))
    }
  }
}
