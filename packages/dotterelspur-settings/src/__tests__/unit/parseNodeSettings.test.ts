import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { FencingMode, SecretSourceKind, MeshSecurityKind, SettingsProblemKind, fencingModeOf, formatSettingsError, parseNodeSettings, readSecret, type NodeSettings, type SettingsProblem } from '../../index.js'

const EXAMPLES = new URL('../../../../../examples/', import.meta.url)

function readExample (name: string): Uint8Array {
  return readFileSync(new URL(name, EXAMPLES))
}

function parse (text: string | Uint8Array): NodeSettings {
  const result = parseNodeSettings(text, 'node.ini')
  if (!result.ok) throw new Error(formatSettingsError(result.error))
  return result.value
}

function problemsOf (text: string | Uint8Array): readonly SettingsProblem[] {
  const result = parseNodeSettings(text, 'node.ini')
  return result.ok ? [] : result.error.problems
}

/** A valid file in which `changes` replaces or adds sections. */
function createText (changes: Readonly<Record<string, readonly string[]>> = {}): string {
  const sections: Record<string, readonly string[]> = {
    node: ['id = n-1', 'region = r-1', 'failure-domain = d-1', 'host = 127.0.0.1'],
    mesh: ['shared-key = 0123456789abcdef'],
    admin: ['token = fedcba9876543210'],
    platform: ['url = http://127.0.0.1:1'],
    ...changes
  }
  return Object.entries(sections).map(([name, lines]) => [`[${name}]`, ...lines].join('\n')).join('\n')
}

describe('parseNodeSettings', () => {
  it('fills in defaults and keeps given values', () => {
    const settings = parse(createText({ timing: ['probe-interval-ms = 0.25 s', 'gossip-interval-ms = 1.005 s'], 'endpoints d-2': ['fencing = checked'] }))
    expect(settings.timing.probeIntervalMs).to.equal(250)
    expect(settings.timing.gossipIntervalMs).to.equal(1_005)
    expect(settings.timing.leaseTtlMs).to.equal(6_000)
    expect(settings.entry.port).to.equal(8080)
    expect(settings.mesh.security.kind).to.equal(MeshSecurityKind.SharedKey)
    expect(fencingModeOf(settings.fencing, 'd-1')).to.equal(FencingMode.Ignored)
    expect(fencingModeOf(settings.fencing, 'd-2')).to.equal(FencingMode.Checked)
  })

  for (const name of ['tradeline-node.ini', 'piedmont-node.ini', 'loopback-node.ini']) {
    it(`accepts examples/${name}`, () => {
      expect(parse(readExample(name)).id).to.be.a('string')
    })
  }

  const faults: ReadonlyArray<{ title: string, text: string, kind: SettingsProblemKind, key: string | null }> = [
    { title: 'a shared key on an address that is not loopback', text: createText({ node: ['id = n-1', 'region = r-1', 'failure-domain = d-1', 'host = 10.0.0.1'] }), kind: SettingsProblemKind.InvalidRelation, key: 'shared-key' },
    { title: 'a shared key together with certificates', text: createText({ mesh: ['shared-key = 0123456789abcdef', 'key-file = /k'] }), kind: SettingsProblemKind.InvalidRelation, key: 'shared-key' },
    { title: 'no credentials for the mesh', text: createText({ mesh: [] }), kind: SettingsProblemKind.InvalidRelation, key: 'shared-key' },
    { title: 'two admin tokens', text: createText({ admin: ['token = fedcba9876543210', 'token-file = /t'] }), kind: SettingsProblemKind.InvalidRelation, key: 'token' },
    { title: 'an order that outlasts the lease margin', text: createText({ timing: ['order-timeout-ms = 2 s'] }), kind: SettingsProblemKind.InvalidRelation, key: 'order-timeout-ms' },
    { title: 'a lease whose holder would stop sending orders between renewals', text: createText({ timing: ['lease-renew-ms = 5 s'] }), kind: SettingsProblemKind.InvalidRelation, key: 'lease-margin-ms' },
    { title: 'evidence that expires between probes', text: createText({ timing: ['evidence-ttl-ms = 1 s'] }), kind: SettingsProblemKind.InvalidRelation, key: 'evidence-ttl-ms' },
    { title: 'a grace period of over an hour', text: createText({ limits: ['stop-grace-ms = 2 h'] }), kind: SettingsProblemKind.InvalidValue, key: 'stop-grace-ms' },
    { title: 'a unit that is not accepted', text: createText({ timing: ['lease-ttl-ms = 6 sec'] }), kind: SettingsProblemKind.InvalidValue, key: 'lease-ttl-ms' },
    { title: 'a port out of range', text: createText({ entry: ['port = 65536'] }), kind: SettingsProblemKind.InvalidValue, key: 'port' },
    { title: 'a host name instead of an address', text: createText({ node: ['id = n-1', 'region = r-1', 'failure-domain = d-1', 'host = localhost'] }), kind: SettingsProblemKind.InvalidValue, key: 'host' },
    { title: 'a missing key', text: createText({ platform: [] }), kind: SettingsProblemKind.MissingKey, key: 'url' },
    { title: 'an unknown key', text: createText({ entry: ['prot = 1'] }), kind: SettingsProblemKind.UnknownKey, key: 'prot' },
    { title: 'an unknown section', text: createText({ entri: ['port = 1'] }), kind: SettingsProblemKind.UnknownSection, key: null }
  ]
  for (const { title, text, kind, key } of faults) {
    it(`rejects ${title}`, () => {
      const problems = problemsOf(text)
      expect(problems.map((problem) => [problem.kind, problem.key])).to.deep.equal([[kind, key]])
      expect(problems[0]!.file).to.equal('node.ini')
      expect(problems[0]!.accepted).to.not.equal('')
    })
  }

  it('does not show a secret in an error about two keys', () => {
    // Failure: an operator's token appears in a log or a ticket. A file gives both token and token-file, and the error
    // of the rule between the keys shows the value of the key that it names, even if that is a secret.
    const problems = problemsOf(createText({ admin: ['token = fedcba9876543210', 'token-file = /t'], mesh: ['shared-key = 0123456789abcdef', 'key-file = /k'] }))
    expect(problems).to.have.length(2)
    expect(JSON.stringify(problems)).to.not.include('fedcba9876543210').and.not.include('0123456789abcdef')
  })

  it('reports every problem at once, in the order of the lines, and never shows a secret', () => {
    const problems = problemsOf(createText({ admin: ['token = short'], platform: ['url = ftp://x', 'timeout-ms = -1'] }))
    expect(problems.map((problem) => problem.key)).to.deep.equal(['token', 'url', 'timeout-ms'])
    expect(problems[0]!.found).to.equal('(hidden)')
    expect(formatSettingsError({ problems })).to.match(/^node\.ini:\d+ \[admin\] token: invalid-value, found "\(hidden\)"; accepted: /)
  })
})

describe('readSecret', () => {
  const place = { file: 'node.ini', section: 'admin', key: 'token' }
  const source = { kind: SecretSourceKind.File, path: '/run/token' } as const

  it('reads the file that the settings name', () => {
    expect(readSecret(source, place, () => '0123456789abcdef\n')).to.deep.equal({ ok: true, value: '0123456789abcdef' })
  })

  const faults: ReadonlyArray<{ title: string, readFile: () => string }> = [
    { title: 'a missing file', readFile: () => { throw new Error('ENOENT') } },
    { title: 'an empty file', readFile: () => '' },
    { title: 'a file that holds no secret', readFile: () => 'two words that are no token' }
  ]
  for (const { title, readFile } of faults) {
    it(`rejects ${title}, without showing its content`, () => {
      const result = readSecret(source, place, readFile)
      const problem = result.ok ? undefined : result.error.problems[0]
      expect(problem).to.deep.include({ section: 'admin', key: 'token-file' })
      expect(problem!.found).to.include('/run/token').and.not.include('two words')
    })
  }
})
