import type { FastifyError, FastifyInstance, FastifyRequest } from 'fastify'
import { BodyErrorKind, readBody, type BodySource } from 'dotterelspur'

const TOO_LARGE = 413
const BAD_REQUEST = 400

type Done = (error: Error | null, body?: unknown) => void

/** Hands the complete body on to the parser of its type. */
type BodyHandler = (request: FastifyRequest, body: Buffer, done: Done) => void

const ERRORS: Readonly<Record<BodyErrorKind, Pick<FastifyError, 'message' | 'statusCode'>>> = {
  [BodyErrorKind.TooLarge]: { message: 'Request body is too large', statusCode: TOO_LARGE },
  [BodyErrorKind.Aborted]: { message: 'the connection was closed before the body was complete', statusCode: BAD_REQUEST }
}

/** Parses JSON bodies. Fastify's own parser keeps an object for each chunk of a body, which takes many times the memory of small ones. */
export function registerJsonParser (app: FastifyInstance, limitBytes: number): void {
  const parseJson = app.getDefaultJsonParser('error', 'error')
  registerParser(app, 'application/json', limitBytes, (request, body, done) => { parseJson(request, body.toString('utf8'), done) })
}

/** Takes bodies of all types as they are. */
export function registerRawParser (app: FastifyInstance, limitBytes: number): void {
  app.removeAllContentTypeParsers()
  registerParser(app, '*', limitBytes, (_request, body, done) => { done(null, body) })
}

function registerParser (app: FastifyInstance, contentType: string, limitBytes: number, handle: BodyHandler): void {
  if (app.hasContentTypeParser(contentType)) app.removeContentTypeParser(contentType)
  app.addContentTypeParser(contentType, (request, payload: BodySource, done: Done) => {
    readBody(payload, limitBytes)
      .then((body) => {
        if (body.ok) handle(request, body.value, done)
        else done(Object.assign(new Error(), ERRORS[body.error]))
      })
      .catch((error: Error) => { done(error) })
  })
}
