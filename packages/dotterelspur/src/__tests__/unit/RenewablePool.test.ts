import { expect } from 'chai'
import { RenewablePool, type ConnectionPool } from '../../connection/RenewablePool.js'
import { ManualClock } from '../../process/Clock.js'

const OVERDUE_MS = 450

enum PoolEnd {
  Closed = 'closed',
  Destroyed = 'destroyed'
}

/** A pool whose calls the test answers. */
class FakePool implements ConnectionPool {
  end: PoolEnd | null = null
  readonly calls: Array<{ readonly isRepeat: boolean, answer (text: string): void, fail (reason: string): void }> = []

  async send (isRepeat: boolean): Promise<string> {
    return await new Promise((resolve, reject) => {
      this.calls.push({ isRepeat, answer: resolve, fail: (reason) => { reject(new Error(reason)) } })
    })
  }

  async close (): Promise<void> { this.end ??= PoolEnd.Closed }

  async destroy (): Promise<void> {
    this.end = PoolEnd.Destroyed
    for (const call of this.calls) call.fail('destroyed')
  }
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < 20; turn++) await Promise.resolve()
}

describe('RenewablePool', () => {
  function createWorld (): { clock: ManualClock, pools: FakePool[], pool: RenewablePool<FakePool>, read: () => Promise<string>, pass: (ms: number) => Promise<void> } {
    const clock = new ManualClock()
    const pools: FakePool[] = []
    const pool = new RenewablePool(clock, () => {
      pools.push(new FakePool())
      return pools.at(-1)!
    })
    const pass = async (durationMs: number): Promise<void> => {
      clock.advance(durationMs)
      await settle()
      clock.advance(0)
      await settle()
    }
    return { clock, pools, pool, pass, read: async () => await pool.read(OVERDUE_MS, async (used, isRepeat) => await used.send(isRepeat)) }
  }

  it('sends a call once if its answer is not overdue', async () => {
    const { pools, read, pass } = createWorld()
    const answer = read()
    await pass(OVERDUE_MS - 1)
    pools[0]!.calls[0]!.answer('first')
    expect(await answer).to.equal('first')
    expect(pools.map(({ end, calls }) => [end, calls.length])).to.deep.equal([[null, 1]])
  })

  // Guards against a service that seems to be away because its connections have fallen silent.
  it('repeats an overdue call on new connections, and ends the silent ones', async () => {
    const { pools, pool, read, pass } = createWorld()
    const answer = read()
    await pass(OVERDUE_MS)
    expect(pools[1]!.calls.map(({ isRepeat }) => isRepeat)).to.deep.equal([true])
    pools[1]!.calls[0]!.answer('second')
    expect(await answer).to.equal('second')
    expect(pools[0]!.end).to.equal(PoolEnd.Destroyed)
    expect(pool.current).to.equal(pools[1])
  })

  it('keeps the connections if the first call is answered after all', async () => {
    const { pools, pool, read, pass } = createWorld()
    const answer = read()
    await pass(OVERDUE_MS)
    pools[0]!.calls[0]!.answer('first')
    expect(await answer).to.equal('first')
    await settle()
    expect([pool.current, pools[0]!.end, pools[1]!.end]).to.deep.equal([pools[0], null, PoolEnd.Closed])
  })

  it('repeats a call that ended with its replaced connections, and one that becomes overdue later on the same new ones', async () => {
    const { pools, read, pass } = createWorld()
    const answers = [read()]
    await pass(OVERDUE_MS / 2)
    answers.push(read())
    await pass(OVERDUE_MS / 2)
    pools[1]!.calls[0]!.answer('second')
    await settle()
    pools[1]!.calls[1]!.answer('third')
    expect(await Promise.all(answers)).to.deep.equal(['second', 'third'])
    expect(pools.length).to.equal(2)
  })

  it('replaces the connections, and fails with the first error, if the repeated call fails too', async () => {
    const { pools, pool, read, pass } = createWorld()
    const answer = read().then(() => null, (error: Error) => error.message)
    await pass(OVERDUE_MS)
    pools[1]!.calls[0]!.fail('refused')
    pools[0]!.calls[0]!.fail('timed out')
    expect(await answer).to.equal('timed out')
    expect(pools[0]!.end).to.equal(PoolEnd.Closed)
    expect(pool.current).to.not.equal(pools[0])
  })

  it('fails a call that fails in time, without a repeat', async () => {
    const { pools, read, pass } = createWorld()
    const answer = read().then(() => null, (error: Error) => error.message)
    pools[0]!.calls[0]!.fail('refused')
    expect(await answer).to.equal('refused')
    await pass(OVERDUE_MS)
    expect(pools.length).to.equal(1)
  })

  it('replaces a suspect pool once', () => {
    const { pools, pool } = createWorld()
    const suspect = pool.current
    pool.renew(suspect)
    pool.renew(suspect)
    expect(pools.map(({ end }) => end)).to.deep.equal([PoolEnd.Closed, null])
  })
})
