import { failed, success, type Result } from '../../process/Result.js'
import { ByteCollector } from '../dispatch/ByteCollector.js'

export enum BodyErrorKind {
  TooLarge = 'too-large',
  /** The caller closed its connection before the body was complete. */
  Aborted = 'broken-off'
}

/** The part of a readable stream that a body is read from. */
export interface BodySource {
  on (event: 'data', listener: (chunk: Buffer) => void): unknown
  on (event: 'end' | 'error' | 'close', listener: () => void): unknown
}

/**
 * Reads a request's body up to a limit. The body is buffered completely, so that the request can be retried, or refused with the
 * guarantee that it has not run. What it takes in memory follows from its size, in however small chunks it arrives.
 */
export async function readBody (source: BodySource, limitBytes: number): Promise<Result<Buffer, BodyErrorKind>> {
  return await new Promise((resolve) => {
    const body = new ByteCollector()
    let isOver = false
    const end = (result: Result<Buffer, BodyErrorKind>): void => {
      isOver = true
      resolve(result)
    }
    source.on('data', (chunk: Buffer) => {
      // The rest of a body that is too large is read and dropped, so that the caller reads the response.
      if (isOver) return
      if (body.sizeBytes + chunk.length > limitBytes) {
        body.take()
        return end(failed(BodyErrorKind.TooLarge))
      }
      body.push(chunk)
    })
    source.on('end', () => { if (!isOver) end(success(body.take())) })
    source.on('error', () => { end(failed(BodyErrorKind.Aborted)) })
    source.on('close', () => { end(failed(BodyErrorKind.Aborted)) })
  })
}
