import type { RequestContent } from 'dotterelspur'
import { RunKind, type ModelRunRequest, type RunRequest, type ServiceRunRequest } from './RunRequest.js'

type ContentReaders = { readonly [Kind in RunKind]: (request: Extract<RunRequest, { kind: Kind }>) => RequestContent }

/**
 * The content by which a repeated request is recognised. The seed is excluded, because a request whose caller sets none gets
 * another seed each time it is sent.
 */
const CONTENT_READERS: ContentReaders = {
  [RunKind.Model]: ({ team, model, adapter, prompt, maxTokens }: ModelRunRequest) => {
    return { service: String(team), method: RunKind.Model, target: `${adapter ?? ''}/${maxTokens}`, caller: String(team), model, body: Buffer.from(prompt) }
  },
  [RunKind.Service]: ({ team, service, method, path, body }: ServiceRunRequest) => ({ service, method, target: path, caller: String(team), model: null, body })
}

export function contentOf (request: RunRequest): RequestContent {
  return (CONTENT_READERS[request.kind] as (request: RunRequest) => RequestContent)(request)
}
