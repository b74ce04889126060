import type { TopologySettings } from './Topology.js'

/** Messages between the bench and the processes that hold its measured meshes. */
export enum ToWorkerKind {
  /** Starts the meshes of the given nodes. */
  Start = 'start',
  /** Passes the addresses to dial. */
  Seeds = 'seeds',
  /** Offers the fleet's documents. */
  Offer = 'offer',
  /** Requests the counts without a garbage collection, which would pause the process. */
  Peek = 'peek',
  /** Requests the counts after a garbage collection, so that the heap size is the memory in use. */
  Sample = 'sample',
  Stop = 'stop'
}

export type ToWorker =
  | { readonly kind: ToWorkerKind.Start, readonly settings: TopologySettings, readonly nodes: readonly number[] }
  | { readonly kind: ToWorkerKind.Seeds, readonly seeds: readonly string[] }
  | { readonly kind: ToWorkerKind.Offer | ToWorkerKind.Peek | ToWorkerKind.Sample | ToWorkerKind.Stop }

export enum FromWorkerKind {
  Started = 'started',
  Done = 'done',
  Sampled = 'sampled'
}

/** Totals over the meshes of one process since its start. */
export interface MeshSample {
  readonly meshes: number
  readonly atMs: number
  readonly cpuMs: number
  readonly heapBytes: number
  readonly sentBytes: number
  readonly receivedBytes: number
  readonly sentFrames: number
  readonly sentBytesByKind: Readonly<Record<string, number>>
  readonly links: number
  /** The lowest number among the meshes. */
  readonly fewestMembers: number
  readonly fewestDocuments: number
  readonly evidenceLines: number
}

export type FromWorker =
  | { readonly kind: FromWorkerKind.Started, readonly addresses: readonly string[] }
  | { readonly kind: FromWorkerKind.Done }
  | { readonly kind: FromWorkerKind.Sampled, readonly sample: MeshSample }
