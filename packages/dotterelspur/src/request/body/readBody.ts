import type { Clock } from '../../process/Clock.js'
import { failed, success, type Result } from '../../process/Result.js'
import type { Teardown } from '../../process/Teardown.js'
import { ByteCollector } from '../dispatch/ByteCollector.js'
import type { HeldBody } from './BodyMemory.js'

/** How long a body may wait for memory in all. Callers give up requests that are not read within a second. */
const MAX_WAIT_MS = 750

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
 * guarantee that it has not run. What it takes in memory follows from its size, in however small chunks it arrives. While the memory for bodies is
 * full, its source is paused.
 */
export async function readBody (source: BodySource, limitBytes: number, held: HeldBody, clock: Clock): Promise<Result<Buffer, BodyErrorKind>> {
  return await new Promise((resolve) => {
    const body = new ByteCollector()
    let isOver = false
    let cancelWait: Teardown = () => {}
    let leftWaitMs = MAX_WAIT_MS
    let pausedAtMs = 0
    const end = (result: Result<Buffer, BodyErrorKind>): void => {
      if (isOver) return
      isOver = true
      cancelWait()
      held.complete()
      resolve(result)
    }
    // The rest of a body that is refused is read and dropped, so that the caller reads the response.
    const refuse = (error: BodyErrorKind): void => {
      body.clear()
      held.release()
      end(failed(error))
      source.resume()
    }
    const resume = (): void => {
      cancelWait()
      leftWaitMs -= clock.nowMs() - pausedAtMs
      source.resume()
    }
    source.on('data', (chunk: Buffer) => {
      if (isOver) return
      if (body.sizeBytes + chunk.length > limitBytes) return refuse(BodyErrorKind.TooLarge)
      body.push(chunk)
      if (held.add(chunk.length, resume)) return
      source.pause()
      pausedAtMs = clock.nowMs()
      cancelWait()
      cancelWait = clock.registerTimer(leftWaitMs, () => { if (!held.retry()) refuse(BodyErrorKind.NoRoom) })
    })
    source.on('end', () => { if (!isOver) end(success(body.take())) })
    source.on('error', () => { end(failed(BodyErrorKind.Aborted)) })
    source.on('close', () => { end(failed(BodyErrorKind.Aborted)) })
  })
}
