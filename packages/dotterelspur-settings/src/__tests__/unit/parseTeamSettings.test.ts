import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { PriorityClass, RetryRule, type TeamSettings } from 'dotterelspur'
import { SettingsProblemKind, formatSettingsError, hashToken, parseTeamSettings, tokenMatches, type SettingsProblem } from '../../index.js'

const EXAMPLES = new URL('../../../../../examples/', import.meta.url)

function parse (text: string | Uint8Array): TeamSettings {
  const result = parseTeamSettings(text, 'team.ini')
  if (!result.ok) throw new Error(formatSettingsError(result.error))
  return result.value
}

function problemsOf (text: string | Uint8Array): readonly SettingsProblem[] {
  const result = parseTeamSettings(text, 'team.ini')
  return result.ok ? [] : result.error.problems
}

/** A valid team's settings text, followed by `more`. */
function createText (more = ''): string {
  return `[team]\nname = tiles\ncaller-token-sha256 = ${hashToken('caller')}\n${more}`
}

describe('parseTeamSettings', () => {
  it('reads models, services and their routes', () => {
    const settings = parse(createText([
      '[model llama-3.1]', 'version = v2', 'adapters = "a, b"', 'replicas = 2', 'vms-per-replica = 4 ; a comment',
      '[service trips]',
      '[route trips read]', 'methods = GET', 'retry = idempotent'
    ].join('\r\n')))
    expect(settings.models[0]).to.deep.include({ model: 'llama-3.1', version: 'v2', adapters: ['a', 'b'], vmsPerReplica: 4, defaultPriority: PriorityClass.Standard })
    expect(settings.services).to.deep.equal([{ service: 'trips', timeoutMs: 10_000, routes: [{ methods: ['GET'], pathPrefix: '/', retry: RetryRule.Idempotent }] }])
  })

  it('accepts both example teams, with their tokens', () => {
    const tradeline = parse(readFileSync(new URL('tradeline-team.ini', EXAMPLES)))
    const piedmont = parse(readFileSync(new URL('piedmont-team.ini', EXAMPLES)))
    expect(tokenMatches('example-tradeline-caller', tradeline.callerTokenHashes)).to.equal(true)
    expect(tokenMatches('example-tradeline-caller', piedmont.callerTokenHashes)).to.equal(false)
    expect(tradeline.weights.groupDowntime).to.be.greaterThan(tradeline.weights.strandedAccelerators)
    expect(piedmont.weights.strandedAccelerators).to.be.greaterThan(piedmont.weights.groupDowntime)
  })

  const model = '[model m]\nversion = 1\nreplicas = 1\nvms-per-replica = 1\n'
  const faults: ReadonlyArray<{ title: string, text: string | Uint8Array, kind: SettingsProblemKind, key?: string, line?: number }> = [
    { title: 'a file of 2 MB', text: new Uint8Array(2_000_000).fill(0x3b), kind: SettingsProblemKind.TooLarge },
    { title: 'invalid UTF-8', text: new Uint8Array([0x5b, 0xff, 0x5d]), kind: SettingsProblemKind.InvalidEncoding },
    { title: 'half of a surrogate pair', text: createText('; \ud800'), kind: SettingsProblemKind.InvalidEncoding },
    { title: 'a control character', text: createText('[weights]\ngroup-downtime = 1\u0000'), kind: SettingsProblemKind.ControlCharacter, line: 5 },
    { title: 'an escaped control character', text: createText('[model m]\nversion = "1\\u0007"\nreplicas = 1\nvms-per-replica = 1'), kind: SettingsProblemKind.ControlCharacter, key: 'version' },
    { title: 'a duplicate section', text: createText(model + model), kind: SettingsProblemKind.DuplicateSection, line: 8 },
    { title: 'a duplicate section with other spaces', text: createText(model + model.replace('[model m]', '[ model   m ]')), kind: SettingsProblemKind.DuplicateSection, line: 8 },
    { title: 'a duplicate key', text: createText('[weights]\ngroup-downtime = 1\ngroup-downtime = 2'), kind: SettingsProblemKind.DuplicateKey, key: 'group-downtime' },
    { title: 'a key above all sections', text: 'name = x\n' + createText(), kind: SettingsProblemKind.KeyOutsideSection, key: 'name', line: 1 },
    { title: 'a line that is neither a section nor an entry', text: createText('weights'), kind: SettingsProblemKind.MalformedLine, line: 4 },
    { title: 'a section that is not closed', text: createText('[weights'), kind: SettingsProblemKind.MalformedLine, line: 4 },
    { title: 'a section named __proto__', text: createText('[__proto__]'), kind: SettingsProblemKind.MalformedLine, line: 4 },
    { title: 'a section named constructor', text: createText('[constructor]'), kind: SettingsProblemKind.UnknownSection, line: 4 },
    { title: 'a key named __proto__', text: createText('[weights]\n__proto__ = 1'), kind: SettingsProblemKind.MalformedLine, line: 5 },
    { title: 'an array key', text: createText('[weights]\ngroup-downtime[] = 1'), kind: SettingsProblemKind.MalformedLine, line: 5 },
    { title: 'a model without name', text: createText('[model]\nversion = 1'), kind: SettingsProblemKind.UnknownSection, line: 4 },
    { title: 'a service name that is not an identifier', text: createText('[service A/b]'), kind: SettingsProblemKind.InvalidValue, line: 4 },
    { title: 'a token instead of its hash', text: '[team]\nname = a\ncaller-token-sha256 = secret', kind: SettingsProblemKind.InvalidValue, key: 'caller-token-sha256' },
    { title: 'an operator token that is also a caller token', text: createText(`operator-token-sha256 = ${hashToken('caller')}`), kind: SettingsProblemKind.InvalidRelation, key: 'operator-token-sha256' },
    { title: 'weights that are all 0', text: createText('[weights]\ngroup-downtime = 0\nstranded-accelerators = 0'), kind: SettingsProblemKind.InvalidRelation, key: 'group-downtime' },
    { title: 'a negative number', text: createText(model.replace('replicas = 1', 'replicas = -1')), kind: SettingsProblemKind.InvalidValue, key: 'replicas' },
    { title: 'a route of an undefined service', text: createText('[route trips read]\nretry = once'), kind: SettingsProblemKind.InvalidRelation, line: 4 },
    { title: 'no team', text: '', kind: SettingsProblemKind.MissingSection }
  ]
  for (const { title, text, kind, key, line } of faults) {
    it(`rejects ${title}`, () => {
      const problems = problemsOf(text)
      expect(problems.map((problem) => problem.kind)).to.deep.equal([kind])
      if (key !== undefined) expect(problems[0]!.key).to.equal(key)
      if (line !== undefined) expect(problems[0]!.line).to.equal(line)
      expect(problems[0]!.accepted).to.not.equal('')
    })
  }
})
