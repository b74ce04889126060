import { PriorityClass, TargetKind, type GroupQuery } from '../../index.js'

/** A query that any group of the model can serve, with `overrides` applied. */
export function createQuery (overrides: Partial<GroupQuery> = {}): GroupQuery {
  return {
    kind: TargetKind.Group,
    model: 'summary',
    version: 'v1',
    versionPinned: false,
    adapter: null,
    prefixHashes: [],
    promptTokens: 100,
    excluded: new Set(),
    priority: PriorityClass.Interactive,
    idempotent: true,
    ...overrides
  }
}
