import type { z } from 'zod'
import type { FailureDomainId, NodeId, RegionId } from 'dotterelspur'
import type { FencingMode, MetricsAccess, entrySection, nodeLimitsSection, timingSection } from './NodeSchema.js'

/** How the settings give a secret: as text, or as the path of a file. */
export enum SecretSourceKind {
  Text = 'text',
  File = 'file'
}

export type SecretSource =
  | { readonly kind: SecretSourceKind.Text, readonly text: string }
  | { readonly kind: SecretSourceKind.File, readonly path: string }

/** How nodes authenticate to each other. */
export enum MeshSecurityKind {
  /** Plain connections on loopback; both ends prove that they have the shared key. */
  SharedKey = 'shared-key',
  /** Both ends present certificates signed by the same authority. */
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
  /** `host:port` advertised to peers; null for the listener's own. */
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

/** A node's settings, validated and typed. They do not change while the process runs. */
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
