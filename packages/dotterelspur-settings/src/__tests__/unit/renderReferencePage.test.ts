import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { renderReferencePage } from '../../index.js'

describe('renderReferencePage', () => {
  it('is committed as docs/SETTINGS.md; node scripts/settings-page.mjs writes it', () => {
    const committed = readFileSync(new URL('../../../../../docs/SETTINGS.md', import.meta.url), 'utf8')
    expect(committed).to.equal(renderReferencePage())
  })
})
