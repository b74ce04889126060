import type { RequestContent } from 'dotterelspur'
import { RunKind, type ModelRunRequest, type RunRequest, type ServiceRunRequest } from './RunRequest.js'

type ContentReaders = { readonly [Kind in RunKind]: (request: Extract<RunRequest, { kind: Kind }>) => RequestContent }

/** What makes a request the same one when it comes again. A seed is no part of it: where the caller gives none, each attempt has another. */
const CONTENT_READERS: ContentReaders = {
  [RunKind.Model]: ({ team, model, adapter, prompt, maxTokens }: ModelRunRequest) => {
    return { service: String(team), method: RunKind.Model, target: `${adapter ?? ''}/${maxTokens}`, caller: String(team), model, body: Buffer.from(prompt) }
  },
  [RunKind.Service]: ({ team, service, method, path, body }: ServiceRunRequest) => ({ service, method, target: path, caller: String(team), model: null, body })
}

export function contentOf (request: RunRequest): RequestContent {
  return (CONTENT_READERS[request.kind] as (request: RunRequest) => RequestContent)(request)
}
