import { ByteCollector } from '../dispatch/ByteCollector.js'

/**
 * Reads a whole response, of which the caller bounds the size. What it takes in memory follows from its size, in however small chunks it
 * arrives.
 */
export async function readBytes (source: AsyncIterable<Buffer>): Promise<Buffer> {
  const bytes = new ByteCollector()
  for await (const chunk of source) bytes.push(chunk)
  return bytes.take()
}

/** As `readBytes`, for a response of UTF-8 text. */
export async function readText (source: AsyncIterable<Buffer>): Promise<string> {
  return (await readBytes(source)).toString('utf8')
}
