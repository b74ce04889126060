import { expect } from 'chai'
import { ManualClock, createRandom, formatRequestId, mergeTeardowns, parseRequestId, rendezvousOrder } from '../../index.js'

describe('ManualClock', () => {
  it('fires timers in order of time, then of registration', () => {
    const clock = new ManualClock()
    const fired: string[] = []
    clock.registerTimer(20, () => fired.push('late'))
    clock.registerTimer(10, () => fired.push('first'))
    clock.registerTimer(10, () => fired.push('second'))
    const cancel = clock.registerTimer(5, () => fired.push('cancelled'))
    cancel()
    clock.advance(15)
    expect(fired).to.deep.equal(['first', 'second'])
    clock.advance(5)
    expect(fired).to.deep.equal(['first', 'second', 'late'])
  })
})

describe('createRandom', () => {
  it('produces the same sequence for the same seed and a different one for another seed', () => {
    const draw = (seed: number): number[] => {
      const random = createRandom(seed)
      return Array.from({ length: 8 }, () => random.next())
    }
    expect(draw(7)).to.deep.equal(draw(7))
    expect(draw(7)).to.not.deep.equal(draw(8))
    expect(draw(7).every((value) => value >= 0 && value < 1)).to.equal(true)
  })
})

describe('rendezvousOrder', () => {
  it('moves only the keys of a removed member', () => {
    const members = ['a', 'b', 'c', 'd', 'e']
    const keys = Array.from({ length: 200 }, (_, index) => `key-${index}`)
    for (const key of keys) {
      const before = rendezvousOrder(key, members)
      const after = rendezvousOrder(key, members.filter((member) => member !== 'c'))
      expect(after).to.deep.equal(before.filter((member) => member !== 'c'))
    }
  })
})

describe('mergeTeardowns', () => {
  it('runs each teardown once, in reverse order', () => {
    const ran: number[] = []
    const teardown = mergeTeardowns(() => ran.push(1), () => ran.push(2))
    teardown()
    teardown()
    expect(ran).to.deep.equal([2, 1])
  })
})

describe('parseRequestId', () => {
  it('parses ids made by formatRequestId and rejects keys chosen by callers', () => {
    const id = formatRequestId('node-a.17', 1_700_000_000_000, 'abcDEF12')
    expect(parseRequestId(id)).to.deep.equal({ home: 'node-a.17', node: 'node-a', incarnation: 17, issuedWallMs: 1_700_000_000_000, random: 'abcDEF12' })
    expect(parseRequestId('loan-4711')).to.equal(undefined)
    expect(parseRequestId('a.b.c.d')).to.equal(undefined)
  })
})
