import type { VmHost } from './VmHost.js'

export enum VmFaultKind {
  Kill = 'kill',
  Pause = 'pause',
  Resume = 'resume',
  Restart = 'restart',
  Straggle = 'straggle',
  Leave = 'leave',
  None = 'none'
}

/** A fault of a VM. `delayMs`: downtime of a restart, time that a straggler adds to each step, or time until a leaving VM ends. */
export interface VmFault {
  readonly kind: VmFaultKind
  readonly delayMs?: number
}

/** The operations of the fleet that faults use. */
export interface FaultTarget {
  readonly host: VmHost
  kill (): void
  restart (awayMs: number | undefined): Promise<void>
  leave (afterMs: number | undefined): void
  straggle (stepMs: number | undefined): void
}

type FaultHandler = (target: FaultTarget, fault: VmFault) => void | Promise<void>

/** Handler of each kind of fault. */
export const VM_FAULT_HANDLERS: Readonly<Record<VmFaultKind, FaultHandler>> = {
  [VmFaultKind.Kill]: (target) => { target.kill() },
  [VmFaultKind.Pause]: (target) => { target.host.pause() },
  [VmFaultKind.Resume]: (target) => { target.host.resume() },
  [VmFaultKind.Restart]: (target, fault) => target.restart(fault.delayMs),
  [VmFaultKind.Straggle]: (target, fault) => { target.straggle(fault.delayMs) },
  [VmFaultKind.Leave]: (target, fault) => { target.leave(fault.delayMs) },
  [VmFaultKind.None]: (target) => {
    target.host.resume()
    target.host.setLeaving(false)
    target.host.straggleMs = 0
  }
}
