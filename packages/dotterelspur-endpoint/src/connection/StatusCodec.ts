import { CacheEventKind, EngineState, StreamState } from 'dotterelspur'
import type { CacheEventPage, ServiceStatus, StreamStatus, VmStatus } from 'dotterelspur'
import { z } from 'zod'

const COUNT = z.number().int().nonnegative()

const LOAD = z.object({
  running: COUNT,
  waiting: COUNT,
  capacity: COUNT,
  cacheUsed: z.number().min(0).max(1),
  ageMs: z.number().nonnegative()
})

/** A status as an engine sends it in answer to orders. */
export const VM_STATUS: z.ZodType<VmStatus> = z.object({
  vm: z.string(),
  incarnation: COUNT,
  state: z.enum(EngineState),
  group: z.string().nullable(),
  formation: COUNT,
  model: z.string().nullable(),
  version: z.string().nullable(),
  adapters: z.array(z.string()),
  loaded: z.array(z.object({ model: z.string(), version: z.string(), adapters: z.array(z.string()) })).optional(),
  fencing: COUNT,
  load: LOAD
})

const LOAD_FIELDS = [COUNT, COUNT, COUNT, z.number().min(0).max(1), z.number().nonnegative()] as const
const LOADED_FIELDS = z.tuple([z.string(), z.string()]).rest(z.string())

/** A presence answer of an engine: the fields of its status in order, without their names. */
export const ENGINE_PRESENCE: z.ZodType<VmStatus> = z.tuple([
  z.string(), COUNT, z.enum(EngineState), z.string().nullable(), COUNT, z.string().nullable(), z.string().nullable(),
  z.array(z.string()), COUNT, ...LOAD_FIELDS, z.array(LOADED_FIELDS)
]).transform(([vm, incarnation, state, group, formation, model, version, adapters, fencing, running, waiting, capacity, cacheUsed, ageMs, loaded]) => ({
  vm,
  incarnation,
  state,
  group,
  formation,
  model,
  version,
  adapters,
  loaded: loaded.map(([id, loadedVersion, ...loadedAdapters]) => ({ model: id, version: loadedVersion, adapters: loadedAdapters })),
  fencing,
  load: { running, waiting, capacity, cacheUsed, ageMs }
}))

/** A presence answer of a service's worker. */
export const SERVICE_PRESENCE: z.ZodType<ServiceStatus> = z.tuple([z.string(), COUNT, z.boolean(), ...LOAD_FIELDS])
  .transform(([vm, incarnation, leaving, running, waiting, capacity, cacheUsed, ageMs]) => ({
    vm, incarnation, leaving, load: { running, waiting, capacity, cacheUsed, ageMs }
  }))

export const STREAM_STATUS: z.ZodType<StreamStatus> = z.object({
  requestId: z.string(),
  state: z.enum(StreamState),
  offset: COUNT
})

export const CACHE_EVENT_PAGE: z.ZodType<CacheEventPage> = z.object({
  events: z.array(z.object({ sequence: COUNT, kind: z.enum(CacheEventKind), prefixHash: COUNT })),
  nextSequence: COUNT
})
