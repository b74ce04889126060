import { expect } from 'chai'
import type { RequestContent } from 'dotterelspur'
import { outlineOf } from 'dotterelspur'
import { fingerprintOf } from '../../request/fingerprint.js'

function createContent (changes: Partial<RequestContent> = {}): RequestContent {
  return { service: 'llm', method: 'POST', target: '/draft/?q=1', caller: 'tradeline', model: 'large', body: Buffer.from('prompt'), ...changes }
}

const VARIANTS: ReadonlyArray<Partial<RequestContent>> = [
  { service: 'other' }, { method: 'PUT' }, { target: '/draft/?q=2' }, { caller: 'piedmont' }, { caller: null }, { model: 'small' }, { model: null },
  { body: Buffer.from('prompts') }, { body: Buffer.alloc(0) }
]

describe('fingerprintOf', () => {
  it('is the same for the same content, and short', () => {
    expect(fingerprintOf(createContent())).to.equal(fingerprintOf(createContent())).and.to.have.lengthOf(32)
  })

  it('differs when any part of the content differs, and so does the outline', () => {
    const contents = [{}, ...VARIANTS].map(createContent)
    expect(new Set(contents.map(fingerprintOf)).size).to.equal(contents.length)
    expect(new Set(contents.map(outlineOf)).size).to.equal(contents.length)
  })

  it('distinguishes bodies of the same length, which the outline does not', () => {
    const other = createContent({ body: Buffer.from('prompT') })
    expect(outlineOf(other)).to.equal(outlineOf(createContent()))
    expect(fingerprintOf(other)).not.to.equal(fingerprintOf(createContent()))
  })

  it('does not mistake characters of one field for part of the next one', () => {
    expect(fingerprintOf(createContent({ method: 'POST","/x', target: '/y' }))).not.to.equal(fingerprintOf(createContent({ method: 'POST', target: '/x","/y' })))
  })
})
