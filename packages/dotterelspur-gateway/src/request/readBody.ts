import type { IncomingMessage } from 'node:http'
import { failed, success, type Result } from 'dotterelspur'

export enum BodyErrorKind {
  TooLarge = 'too-large',
  /** The caller closed its connection before the body was complete. */
  Aborted = 'broken-off'
}

/**
 * Reads a request's body up to a limit. The body is buffered completely, so that the request can be retried, or refused with the
 * guarantee that it has not run.
 */
export async function readBody (request: IncomingMessage, limitBytes: number): Promise<Result<Buffer, BodyErrorKind>> {
  return await new Promise((resolve) => {
    const chunks: Buffer[] = []
    let sizeBytes = 0
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length
      if (sizeBytes > limitBytes) resolve(failed(BodyErrorKind.TooLarge))
      else chunks.push(chunk)
    })
    request.on('end', () => { resolve(success(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))) })
    request.on('error', () => { resolve(failed(BodyErrorKind.Aborted)) })
    request.on('close', () => { resolve(failed(BodyErrorKind.Aborted)) })
  })
}
