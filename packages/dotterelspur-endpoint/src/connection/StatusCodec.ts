import { EngineState } from 'dotterelspur'
import type { CacheEventPage, ServiceStatus, StreamStatus, VmStatus } from 'dotterelspur'
import { CacheEventKind, StreamState } from 'dotterelspur'
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
  fencing: COUNT,
  load: LOAD
})

export const SERVICE_STATUS: z.ZodType<ServiceStatus> = z.object({
  vm: z.string(),
  incarnation: COUNT,
  leaving: z.boolean(),
  load: LOAD
})

export const STREAM_STATUS: z.ZodType<StreamStatus> = z.object({
  requestId: z.string(),
  state: z.enum(StreamState),
  offset: COUNT
})

export const CACHE_EVENT_PAGE: z.ZodType<CacheEventPage> = z.object({
  events: z.array(z.object({ sequence: COUNT, kind: z.enum(CacheEventKind), prefixHash: COUNT })),
  nextSequence: COUNT
})
