import { rename, writeFile } from 'node:fs/promises'
import type { Cluster } from './Cluster.js'

/** Addresses and tokens with which another program can drive a cluster. */
export interface ClusterDescription {
  readonly entries: readonly string[]
  readonly admin: readonly string[]
  readonly adminToken: string
  readonly teams: ReadonlyArray<{ readonly team: string, readonly token: string, readonly models: readonly string[] }>
  readonly services: ReadonlyArray<{ readonly service: string, readonly safePath: string, readonly oncePath: string }>
  readonly control: string
}

export function describeCluster (cluster: Cluster): ClusterDescription {
  const { layout, nodes, control } = cluster
  return {
    entries: nodes.map((node) => node.entry),
    admin: nodes.map((node) => node.admin),
    adminToken: layout.adminToken,
    teams: layout.teams.map(({ team, token, models }) => ({ team, token, models })),
    services: layout.services.map(({ service, safePath, oncePath }) => ({ service, safePath, oncePath })),
    control: control.url
  }
}

/** Writes the description atomically: a reader never finds a part of it. */
export async function writeDescription (cluster: Cluster, path: string): Promise<void> {
  const partial = `${path}.partial`
  await writeFile(partial, `${JSON.stringify(describeCluster(cluster), null, 2)}\n`, { mode: 0o600 })
  await rename(partial, path)
}
