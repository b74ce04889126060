import { expect } from 'chai'
import { LinkAge } from '../../connection/LinkAge.js'

describe('LinkAge', () => {
  it('counts from the opening of the connection until a probe is returned', () => {
    const age = new LinkAge(1_000)
    age.probe(1_350)
    expect(age.sentSinceMs).to.equal(1_000)
  })

  it('counts from the time at which the last returned probe was sent', () => {
    const age = new LinkAge(1_000)
    const first = age.probe(1_350.7)
    const second = age.probe(1_700)
    age.noteReturned(first, 3_950)
    expect(age.sentSinceMs).to.equal(1_350)
    age.noteReturned(second, 4_300)
    expect(age.sentSinceMs).to.equal(1_700)
  })

  // Guards against a peer that makes its frames appear newer than they are.
  for (const payload of ['', 'x', '5000', 'Infinity', '-1', '900']) {
    it(`is not moved by a returned payload ${JSON.stringify(payload)} that proves nothing`, () => {
      const age = new LinkAge(1_000)
      age.noteReturned(payload, 2_000)
      expect(age.sentSinceMs).to.equal(1_000)
    })
  }
})
