import { expect } from 'chai'
import { chmodSync, mkdtempSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { compareDays, pairedDifference } from '../../process/days/compareDays.js'
import { dayKey, playsOf, readVersion, type DayPlan } from '../../process/days/DayPlan.js'
import { readDayResult } from '../../process/days/DayResult.js'
import { playDays, type PlayOptions } from '../../process/days/playDays.js'

function createReport (worth: number, changes: object = {}): string {
  return JSON.stringify({
    G: worth,
    parts: [['whole day', 0.35, worth + 0.1], ['worst windows', 0.5, worth - 0.1]],
    prices: [['processor seconds', 40, 0.003]],
    classes: [{ name: 'draft', n: 10, in_aim: 7, late: 2, refused: 1, failed: 0 }],
    breaks: {},
    fault: null,
    ...changes
  })
}

function createPlan (folder: string): DayPlan {
  return { versions: [{ label: 'old', folder }, { label: 'new', folder }], sites: ['some/lab.toml'], days: ['quiet-1', 'trouble-1'], seeds: [1, 2] }
}

describe('days', () => {
  it('plays the versions of a day next to each other', () => {
    const plays = [...playsOf(createPlan('.'))]
    expect(plays).to.have.length(8)
    expect(plays.slice(0, 2).map((play) => [play.version.label, dayKey(play)])).to.deep.equal([['old', 'lab quiet-1 1'], ['new', 'lab quiet-1 1']])
  })

  it('says what a version should look like', () => {
    expect(readVersion('new=../copy')).to.deep.equal({ label: 'new', folder: '../copy' })
    for (const text of ['new', '=folder', 'new=']) expect(() => readVersion(text)).to.throw('expected LABEL=FOLDER')
  })

  it('reads what a report holds, and that a rule was broken', () => {
    const result = readDayResult(createReport(0.5, { breaks: { TWICE: 1 }, fault: 'too slow' }))
    expect(result).to.deep.include({ worth: 0.5, processorS: 40, breaches: ['TWICE', 'too slow'], kinds: [{ kind: 'draft', asked: 10, onTime: 7, late: 2, refused: 1, failed: 0 }] })
    expect(() => readDayResult('{}')).to.throw('not a report')
  })

  it('gives a difference the interval of its pairs', () => {
    // Student's t for two degrees of freedom at 0.975 is 4.303; the standard deviation of the sample is 0.01.
    const { mean, halfWidth, pairs } = pairedDifference([0.01, 0.02, 0.03])
    expect(mean).to.be.closeTo(0.02, 1e-9)
    expect(halfWidth).to.be.closeTo(4.303 * 0.01 / Math.sqrt(3), 1e-4)
    expect(pairs).to.equal(3)
    expect(pairedDifference([0.1]).halfWidth).to.equal(Infinity)
  })

  describe('with a bench', () => {
    let folder: string
    beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'days-')) })
    afterEach(() => { rmSync(folder, { recursive: true }) })

    /** A program that writes the report of its day, but gives the second seed of trouble-1 up. */
    function createOptions (): PlayOptions {
      const program = join(folder, 'bench')
      const script = `#!/usr/bin/env bash\necho "$2 $3 $5" >> ${folder}/played\nif [ "$3 $5" = "trouble-1 2" ]; then exit 1; fi\necho '${createReport(0.5)}' > "$9"\n`
      writeFileSync(program, script)
      chmodSync(program, 0o755)
      return { program, jobs: 2, folder: join(folder, 'reports'), why: 'a test', dayCapS: null, progress: () => {} }
    }

    it('gives no day up silently, and plays none again whose report is there', async () => {
      const plan = createPlan(folder)
      const options = createOptions()
      const first = await playDays([...playsOf(plan)], options)
      expect(first.filter(({ result }) => result === null)).to.have.length(2)
      const findings = compareDays(plan, first)
      expect(findings.notes.filter((note) => note.includes('given up'))).to.have.length(2)
      expect(findings.notes).to.include('new, all days: worth +0.000 +- 0.000 of 3 pairs, within noise')
      expect(readdirSync(join(options.folder, 'old')).filter((name) => name.endsWith('.json'))).to.have.length(3)
      await playDays([...playsOf(plan)], { ...options, program: join(folder, 'nothing-here') }).then(() => { throw new Error('played without a bench') }, (error: Error) => { expect(error.message).to.include('ENOENT') })
    })

    it('ends only when no play is under way, also when one fails', async () => {
      // After a test that had failed plays, its folder was removed and the run ended with an uncaught error: "ENOENT, open
      // …/reports/new/lab.trouble-1.2.log". One of two plays side by side could not be started; the other one went on after
      // the whole had failed, and opened its log in a folder that was gone.
      const plan: DayPlan = { ...createPlan(folder), versions: [{ label: 'old', folder: join(folder, 'nothing-here') }, { label: 'new', folder }], days: ['quiet-1'], seeds: [1] }
      const options = createOptions()
      writeFileSync(options.program, `#!/usr/bin/env bash\nsleep 0.2\necho '${createReport(0.5)}' > "$9"\n`)
      const error = await playDays([...playsOf(plan)], options).then(() => null, (reason: Error) => reason)
      expect(error?.message).to.include('ENOENT')
      expect(readdirSync(join(options.folder, 'new')).sort()).to.deep.equal(['lab.quiet-1.1.json', 'lab.quiet-1.1.log'])
    })

    it('is violated by a day on which a rule was broken', () => {
      const [play] = [...playsOf(createPlan(folder))]
      const findings = compareDays(createPlan(folder), [{ play: play!, result: readDayResult(createReport(0.5, { breaks: { TWICE: 1 } })) }])
      expect(findings.violated).to.equal(true)
      expect(findings.notes).to.include('old: lab quiet-1 1: TWICE')
    })
  })
})
