import type { Clock } from '../../process/Clock.js'
import { failed, success, type Result } from '../../process/Result.js'
import type { Teardown } from '../../process/Teardown.js'
import { ByteCollector } from '../dispatch/ByteCollector.js'
import type { HeldBody } from './BodyMemory.js'
import { SHORT_WAIT_MS } from './bodyWaitMs.js'

/** How often a body that waits looks for room, since what else is held may have become less. */
const CHECK_MS = 250
/** While others wait, a body gives way that has not brought so much within so many checks. */
const SLOW_CHECKS = 4
const SLOW_BYTES = 16_384

export enum BodyErrorKind {
  TooLarge = 'too-large',
  /** The caller closed its connection before the body was complete. */
  Aborted = 'broken-off',
  /** The memory for bodies was full for too long. */
  NoRoom = 'no-room'
}

/** The part of a readable stream that a body is read from. */
export interface BodySource {
  on (event: 'data', listener: (chunk: Buffer) => void): unknown
  on (event: 'end' | 'error' | 'close', listener: () => void): unknown
  pause (): unknown
  resume (): unknown
}

/**
 * Reads a request's body up to a limit. The body is buffered completely, so that the request can be retried, or refused with the
 * guarantee that it has not run. What it takes in memory follows from its size, in however small chunks it arrives. While there is no room for it, its source
 * is paused, for up to `maxWaitMs` in all.
 */
export async function readBody (source: BodySource, limitBytes: number, held: HeldBody, clock: Clock, maxWaitMs: () => number = () => SHORT_WAIT_MS): Promise<Result<Buffer, BodyErrorKind>> {
  return await new Promise((resolve) => {
    const body = new ByteCollector()
    let isOver = false
    let cancelWait: Teardown = () => {}
    let cancelCheck: Teardown | null = null
    let leftWaitMs: number | null = null
    let pausedAtMs: number | null = null
    let checks = 0
    let checkedBytes = 0
    const end = (result: Result<Buffer, BodyErrorKind>): void => {
      if (isOver) return
      isOver = true
      cancelWait()
      cancelCheck?.()
      held.complete()
      resolve(result)
    }
    // The rest of a body that is refused is read and dropped, so that the caller reads the response.
    const refuse = (error: BodyErrorKind): void => {
      if (isOver) return
      body.clear()
      if (pausedAtMs !== null) held.noteWait(clock.nowMs() - pausedAtMs)
      end(failed(error))
      held.release()
      source.resume()
    }
    const noteProgress = (): void => {
      checks = 0
      checkedBytes = body.sizeBytes
    }
    const resume = (): void => {
      cancelWait()
      const waitedMs = clock.nowMs() - pausedAtMs!
      held.noteWait(waitedMs)
      leftWaitMs! -= waitedMs
      pausedAtMs = null
      noteProgress()
      source.resume()
    }
    const pause = (): void => {
      source.pause()
      if (pausedAtMs !== null) return
      pausedAtMs = clock.nowMs()
      leftWaitMs ??= maxWaitMs()
      cancelWait()
      cancelWait = clock.registerTimer(leftWaitMs, () => { if (!held.retry()) refuse(BodyErrorKind.NoRoom) })
    }
    const check = (): void => {
      if (pausedAtMs !== null) held.retry()
      else if (!held.othersWait || body.sizeBytes - checkedBytes >= SLOW_BYTES) noteProgress()
      else if (++checks >= SLOW_CHECKS) refuse(BodyErrorKind.NoRoom)
      if (!isOver) scheduleCheck()
    }
    const scheduleCheck = (): void => { cancelCheck = clock.registerTimer(CHECK_MS, check) }
    held.onRefuse = () => { refuse(BodyErrorKind.NoRoom) }
    source.on('data', (chunk: Buffer) => {
      if (isOver) return
      if (body.sizeBytes + chunk.length > limitBytes) return refuse(BodyErrorKind.TooLarge)
      body.push(chunk)
      const mayGoOn = held.add(chunk.length, resume)
      // It may have been refused for others, or by others for it.
      if (isOver) return held.complete()
      if (!mayGoOn) pause()
      if (cancelCheck === null && held.isLarge) scheduleCheck()
    })
    source.on('end', () => { if (!isOver) end(success(body.take())) })
    source.on('error', () => { end(failed(BodyErrorKind.Aborted)) })
    source.on('close', () => { end(failed(BodyErrorKind.Aborted)) })
  })
}
