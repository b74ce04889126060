import type { z } from 'zod'
import type { FailureDomainId, NodeId, RegionId } from 'dotterelspur'
import type { FencingMode, MetricsAccess, entrySection, nodeLimitsSection, timingSection } from './NodeSchema.js'

/** A secret as the settings give it: the text itself, or the file that holds it. */
export enum SecretSourceKind {
  Text = 'text',
  File = 'file'
}

export type SecretSource =
  | { readonly kind: SecretSourceKind.Text, readonly text: string }
  | { readonly kind: SecretSourceKind.File, readonly path: string }

/** How nodes know each other. */
export enum MeshSecurityKind {
  /** Plain connections on loopback; both ends prove that they know a key. */
  SharedKey = 'shared-key',
  /** Both ends show certificates of one authority. */
  MutualTls = 'mutual-tls'
}

export type MeshSecurity =
  | { readonly kind: MeshSecurityKind.SharedKey, readonly key: SecretSource }
  | { readonly kind: MeshSecurityKind.MutualTls, readonly certificateFile: string, readonly keyFile: string, readonly authorityFile: string }

export type EntryListenerSettings = Readonly<z.output<typeof entrySection.schema>>
export type TimingSettings = Readonly<z.output<typeof timingSection.schema>>
export type NodeLimits = Readonly<z.output<typeof nodeLimitsSection.schema>>

export interface MeshListenerSettings {
  readonly port: number
  /** `host:port` told to peers; null for the listener's own. */
  readonly advertise: string | null
  readonly seeds: readonly string[]
  readonly security: MeshSecurity
}

export interface AdminListenerSettings {
  readonly port: number
  readonly token: SecretSource
  readonly metrics: MetricsAccess
  readonly maxConnections: number
}

export interface PlatformSettings {
  readonly url: string
  readonly token: SecretSource | null
  readonly timeoutMs: number
  readonly watchTimeoutMs: number
  readonly vmListIntervalMs: number
}

/** A node's settings, checked and typed. They live as long as the process. */
export interface NodeSettings {
  readonly id: NodeId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** IP address that listeners bind to and that is advertised. */
  readonly host: string
  readonly entry: EntryListenerSettings
  readonly mesh: MeshListenerSettings
  readonly admin: AdminListenerSettings
  readonly platform: PlatformSettings
  readonly fencing: FencingSettings
  readonly timing: TimingSettings
  readonly limits: NodeLimits
}

export interface FencingSettings {
  readonly defaultMode: FencingMode
  readonly overrides: ReadonlyMap<FailureDomainId, FencingMode>
}

/** Whether the endpoints of a failure domain check fencing numbers. */
export function fencingModeOf (fencing: FencingSettings, failureDomain: FailureDomainId): FencingMode {
  return fencing.overrides.get(failureDomain) ?? fencing.defaultMode
}
