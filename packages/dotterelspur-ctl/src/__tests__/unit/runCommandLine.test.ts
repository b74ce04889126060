import { expect } from 'chai'
import { TEAM_PREFIX } from 'dotterelspur'
import { hashToken } from 'dotterelspur-settings'
import { MemoryFaultKind, createMember } from 'dotterelspur-testkit'
import { ExitCode, TransportReplyKind } from '../../index.js'
import { createCommandLine, createNode, type NodeFixture } from './fixtures/createCommandLine.js'

function createText (priority: number): string {
  return `[team]\nname = tiles\npriority = ${priority}\ncaller-token-sha256 = ${hashToken('caller')}\n`
}

const FILES = { 'a.ini': createText(40), 'b.ini': createText(60), 'bad.ini': createText(101) }
const NOWHERE = 'http://127.0.0.1:1'

describe('runCommandLine', () => {
  let node: NodeFixture
  let address: string
  beforeEach(async () => {
    node = await createNode()
    address = node.server.address
  })
  afterEach(async () => { await node.server.close() })

  function createLine (more: Partial<Parameters<typeof createCommandLine>[0]> = {}) {
    return createCommandLine({ addresses: [address], files: FILES, ...more })
  }

  it('applies, shows, compares, replaces and deletes a team\'s settings', async () => {
    const files: Record<string, string> = { ...FILES }
    const run = createLine({ files })
    expect((await run('apply', 'a.ini')).exitCode).to.equal(ExitCode.Done)
    const shown = await run('get', 'tiles')
    expect(shown.output).to.match(/^; dotterelspur: version 1, applied by operator:ada at .*\n\[team\]/)
    expect((await run('diff', 'b.ini')).output).to.match(/priority +40 +60/)
    files['edited.ini'] = shown.output.replace('= 40', '= 45')
    expect((await run('apply', 'edited.ini')).exitCode).to.equal(ExitCode.Done)
    expect((await run('apply', 'b.ini', '--replace')).exitCode).to.equal(ExitCode.Done)
    expect((await run('audit')).output).to.match(/\[team\] priority: 40 -> 45[^]*\[team\] priority: 45 -> 60/)
    expect((await run('delete', 'tiles', '--replace')).exitCode).to.equal(ExitCode.Done)
    expect((await run('get', 'tiles')).exitCode).to.equal(ExitCode.NotFound)
  })

  it('a change that does not say on what it is based is refused, and both texts survive a race', async () => {
    const run = createLine()
    await run('apply', 'a.ini')
    const unbased = await run('apply', 'b.ini')
    const late = await run('apply', 'b.ini', '--based-on', '99')
    await run('apply', 'b.ini', '--based-on', '1')
    const raced = await run('apply', 'a.ini', '--based-on', '1')
    expect([unbased.exitCode, late.exitCode, raced.exitCode]).to.deep.equal([ExitCode.Conflict, ExitCode.Unavailable, ExitCode.Conflict])
    expect(raced.error).to.include('priority = 60').and.include('--based-on 3')
    const json = JSON.parse((await run('apply', 'a.ini', '--based-on', '1', '--json')).error)
    expect(json.error.error.refusedText).to.equal(FILES['a.ini'])
  })

  const cases: ReadonlyArray<{ title: string, words: readonly string[], exitCode: ExitCode, says: RegExp, addresses?: readonly string[], token?: string }> = [
    { title: 'a file that is not accepted', words: ['apply', 'bad.ini'], exitCode: ExitCode.InvalidSettings, says: /bad\.ini:3 \[team\] priority: invalid-value, found "101"; accepted: a whole number of 0 to 100/ },
    { title: 'a file that is not there', words: ['validate', 'none.ini'], exitCode: ExitCode.Usage, says: /none\.ini can't be read/ },
    { title: 'an unknown command', words: ['aply', 'a.ini'], exitCode: ExitCode.Usage, says: /apply/ },
    { title: 'an unknown option', words: ['groups', '--taem', 'x'], exitCode: ExitCode.Usage, says: /taem/ },
    { title: 'a missing argument', words: ['get'], exitCode: ExitCode.Usage, says: /Not enough/ },
    { title: 'an address that is none', words: ['status', '--admin', 'perth'], exitCode: ExitCode.Usage, says: /found "perth"/ },
    { title: 'no node there', words: ['status'], exitCode: ExitCode.Unavailable, says: /ECONNREFUSED/, addresses: [NOWHERE] },
    { title: 'a token that nobody knows', words: ['status'], exitCode: ExitCode.Refused, says: /not known/, token: 'nobody-has-this-token' },
    { title: 'an intent without a model', words: ['explain', 'intent', 'tiles'], exitCode: ExitCode.Usage, says: /explain intent <team> <model>/ },
    { title: 'a VM that is not known', words: ['explain', 'vm', 'vm-9'], exitCode: ExitCode.NotFound, says: /vm-9 is not known/ }
  ]
  for (const { title, words, exitCode, says, addresses, token } of cases) {
    it(`reports ${title}`, async () => {
      const result = await createLine({ ...(addresses === undefined ? {} : { addresses }), ...(token === undefined ? {} : { token }) })(...words)
      expect(result.exitCode).to.equal(exitCode)
      expect(result.error).to.match(says)
      expect(result.output).to.equal('')
    })
  }

  for (const command of ['status', 'groups', 'endpoints', 'nodes', 'leases', 'drains', 'teams', 'audit']) {
    it(`${command} prints a table, and the same as JSON`, async () => {
      const run = createLine()
      expect((await run(command)).exitCode).to.equal(ExitCode.Done)
      expect(JSON.parse((await run(command, '--json')).output)).to.be.an('object')
    })
  }

  it('asks the next node when one can\'t be reached', async () => {
    const result = await createLine({ addresses: [NOWHERE, address] })('status')
    expect(result.exitCode).to.equal(ExitCode.Done)
  })

  it('settles an apply whose answer was lost, without applying it twice', async () => {
    // Symptom: the command reports a failure or a conflict, though the settings are in force.
    // Sequence: the node applies and answers; the connection breaks before the answer arrives.
    // Cause: a lost answer looks like a change that was never made.
    let lost = 0
    const run = createLine({
      interfere: (request, send) => request.method === 'PUT' && lost++ === 0
        ? send().then(() => ({ kind: TransportReplyKind.NoAnswer, reason: 'ECONNRESET' }))
        : undefined
    })
    const result = await run('apply', 'a.ini')
    expect(result.output).to.include('version 1 is applied (the answer was lost at first)')
    expect((await run('audit', '--json')).output.match(/settings-applied/g)).to.have.length(1)
  })

  it('says that it does not know when a lost answer can\'t be settled', async () => {
    // Symptom: "nothing was changed" is reported of a change that took effect.
    // Sequence: the answer is lost, then no node can be reached any more.
    // Cause: the last failure alone, "can't be reached", says nothing of the first copy.
    let sent = 0
    const run = createLine({
      interfere: (request, send) => request.method !== 'PUT'
        ? undefined
        : sent++ === 0 ? send().then(() => ({ kind: TransportReplyKind.NoAnswer, reason: 'ECONNRESET' })) : Promise.resolve({ kind: TransportReplyKind.NotSent, reason: 'ECONNREFUSED' })
    })
    const result = await run('apply', 'a.ini')
    expect(result.exitCode).to.equal(ExitCode.OutcomeUnknown)
    expect((await run('get', 'tiles')).exitCode).to.equal(ExitCode.Done)
  })

  it('apply --wait names the nodes that lack the version, and waits for them', async () => {
    node.mesh.setOthers([createMember({ node: 'slow' })])
    const run = createLine()
    const missing = await run('apply', 'a.ini', '--wait', '--timeout-ms', '600')
    expect(missing.exitCode).to.equal(ExitCode.NotInForce)
    expect(missing.output).to.include('in force on 1 of 2 living nodes').and.include('missing: slow (alive, no answer)')
    node.mesh.reports.set(`${TEAM_PREFIX}tiles`, [{ node: 'slow', version: 1_000 }])
    expect((await run('apply', 'b.ini', '--replace', '--wait')).exitCode).to.equal(ExitCode.Done)
  })

  it('reads while the platform\'s store is out, and says so', async () => {
    const run = createLine()
    await run('apply', 'a.ini')
    node.store.setFault(MemoryFaultKind.Down)
    expect((await run('get', 'tiles')).output).to.include('store can\'t be reached')
    expect((await run('apply', 'b.ini', '--based-on', '1')).exitCode).to.equal(ExitCode.Unavailable)
    expect((await run('audit')).exitCode).to.equal(ExitCode.Unavailable)
  })
})
