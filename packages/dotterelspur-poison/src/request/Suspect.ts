import { outlineOf, partOutlineOf, type PoisonSubject, type RequestContent, type RequestFingerprint } from 'dotterelspur'
import { fingerprintOf, partFingerprintOf } from './fingerprint.js'

/** What may be to blame for a termination: a request, or a part of its prompt. Computes outline and fingerprint once each, when needed. */
export class Suspect {
  private cachedOutline: number | null = null
  private cachedFingerprint: RequestFingerprint | null = null

  constructor (private readonly content: RequestContent, private readonly part: string | null, private readonly position: number) {}

  get isPart (): boolean {
    return this.part !== null
  }

  get outline (): number {
    this.cachedOutline ??= this.part === null ? outlineOf(this.content) : partOutlineOf(this.content.service, this.part)
    return this.cachedOutline
  }

  get fingerprint (): RequestFingerprint {
    this.cachedFingerprint ??= this.part === null ? fingerprintOf(this.content) : partFingerprintOf(this.content.service, this.part)
    return this.cachedFingerprint
  }

  get subject (): PoisonSubject {
    const { fingerprint, outline, position, content: { service, caller } } = this
    return this.part === null ? { fingerprint, outline, service, caller } : { fingerprint, outline, part: this.part, position, service, caller }
  }
}

/** All suspects of one request: the request itself and the parts of its prompt that others may share. */
export class Suspects {
  readonly request: Suspect
  readonly parts: readonly Suspect[]
  readonly all: readonly Suspect[]

  constructor (content: RequestContent) {
    this.request = new Suspect(content, null, 0)
    this.parts = (content.promptParts ?? []).map((part, position) => new Suspect(content, part, position))
    this.all = [this.request, ...this.parts]
  }
}
