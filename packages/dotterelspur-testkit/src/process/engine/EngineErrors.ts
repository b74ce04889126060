import { EndpointErrorKind } from 'dotterelspur'
import type { EndpointError } from 'dotterelspur'

/** The rejections and failures that an engine states in its response; all others appear only as broken connections. */
export type EngineFault = Extract<EndpointError, {
  kind:
  EndpointErrorKind.WrongFormation | EndpointErrorKind.Fenced | EndpointErrorKind.Refused | EndpointErrorKind.Malformed
}>

export const ENGINE_FAULT_STATUS: Readonly<Record<EngineFault['kind'], number>> = {
  [EndpointErrorKind.WrongFormation]: 409,
  [EndpointErrorKind.Fenced]: 412,
  [EndpointErrorKind.Refused]: 503,
  [EndpointErrorKind.Malformed]: 400
}

export function wrongFormation (reason: string): EngineFault {
  return { kind: EndpointErrorKind.WrongFormation, reason }
}

export function refused (reason: string, retryAfterMs: number): EngineFault {
  return { kind: EndpointErrorKind.Refused, reason, retryAfterMs }
}

export function malformed (reason: string): EngineFault {
  return { kind: EndpointErrorKind.Malformed, reason }
}
