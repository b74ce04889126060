import jstat from 'jstat'
import type { BenchFindings, ResultPlot, ResultRow, ResultTable } from '../BenchReport.js'
import { spreadOf } from '../BenchReport.js'
import { dayKey, dayOfKey, type DayPlan, type DayVersion } from './DayPlan.js'
import type { DayResult } from './DayResult.js'
import type { PlayedDay } from './playDays.js'

const { jStat } = jstat

/** A difference is significant if its interval at this confidence does not contain zero. */
const CONFIDENCE = 0.95

/** The mean of paired differences, and half the width of its confidence interval, which is infinite for a single pair. */
export interface PairedDifference {
  readonly mean: number
  readonly halfWidth: number
  readonly pairs: number
}

export function pairedDifference (differences: readonly number[]): PairedDifference {
  const pairs = differences.length
  const mean = jStat.mean(differences)
  if (pairs < 2) return { mean, halfWidth: Infinity, pairs }
  const quantile = jStat.studentt.inv(1 - (1 - CONFIDENCE) / 2, pairs - 1)
  return { mean, halfWidth: quantile * jStat.stdev(differences, true) / Math.sqrt(pairs), pairs }
}

type Measure = (result: DayResult) => number

/** Results of a version, by day and seed. */
type Results = ReadonlyMap<string, DayResult>

/** Compares each version with the first one, for each day and over all days, with the components of `worth`. */
export function compareDays (plan: DayPlan, played: readonly PlayedDay[]): BenchFindings {
  const [base, ...others] = plan.versions
  const resultsOf = (version: DayVersion): Results => new Map(played.flatMap(({ play, result }) => play.version === version && result !== null ? [[dayKey(play), result] as const] : []))
  const byVersion = new Map(plan.versions.map((version) => [version, resultsOf(version)]))
  const keys = [...new Set(played.map(({ play }) => dayKey(play)))]
  const breaches = played.flatMap(({ play, result }) => result === null || result.breaches.length === 0 ? [] : [`${play.version.label}: ${dayKey(play)}: ${result.breaches.join(', ')}`])
  return {
    settings: { ...plan },
    tables: [worthTable(byVersion, keys), kindTable(byVersion), priceTable(byVersion)],
    plots: [worthPlot(byVersion, keys)],
    notes: [...others.flatMap((version) => differenceNotes(byVersion.get(base!)!, version, byVersion.get(version)!, keys)), ...givenUpNotes(played), ...breaches],
    violated: breaches.length > 0
  }
}

function differenceNotes (base: Results, { label }: DayVersion, results: Results, keys: readonly string[]): string[] {
  const paired = keys.filter((key) => base.has(key) && results.has(key))
  const note = (name: string, of: readonly string[]): string => {
    const { mean, halfWidth, pairs } = pairedDifference(of.map((key) => results.get(key)!.worth - base.get(key)!.worth))
    const verdict = Math.abs(mean) > halfWidth ? 'beyond noise' : 'within noise'
    return `${label}, ${name}: worth ${mean >= 0 ? '+' : ''}${mean.toFixed(3)} +- ${halfWidth.toFixed(3)} of ${pairs} pairs, ${verdict}`
  }
  const days = [...new Set(paired.map(dayOfKey))]
  return [...days.map((day) => note(day, paired.filter((key) => dayOfKey(key) === day))), ...paired.length === 0 ? [] : [note('all days', paired)]]
}

function givenUpNotes (played: readonly PlayedDay[]): string[] {
  return played.filter(({ result }) => result === null).map(({ play }) => `${play.version.label}: ${dayKey(play)}: given up, no result`)
}

function worthTable (byVersion: ReadonlyMap<DayVersion, Results>, keys: readonly string[]): ResultTable {
  const measures: ReadonlyArray<readonly [string, Measure]> = [
    ['worth', ({ worth }) => worth],
    ['whole day', ({ parts }) => parts.get('whole day') ?? NaN],
    ['worst windows', ({ parts }) => parts.get('worst windows') ?? NaN],
    ['worst class', ({ parts }) => parts.get('worst class') ?? NaN],
    ['processor (s)', ({ processorS }) => processorS]
  ]
  const rows = [...new Set(keys.map(dayOfKey))].flatMap((day) => [...byVersion].map(([{ label }, results], index): ResultRow => {
    const found = keys.filter((key) => dayOfKey(key) === day && results.has(key)).map((key) => results.get(key)!)
    return { label: `${day}, ${label}`, baseline: index === 0, cells: measures.map(([, read]) => found.length === 0 ? null : spreadOf(found.map(read))) }
  }))
  return { title: 'Days', labelName: 'day, version', columns: measures.map(([name], index) => ({ name, digits: index === measures.length - 1 ? 1 : 3 })), rows }
}

function kindTable (byVersion: ReadonlyMap<DayVersion, Results>): ResultTable {
  const columns = ['asked', 'in time', 'late', 'refused', 'failed'].map((name) => ({ name, digits: 0 }))
  const rows = [...byVersion].flatMap(([{ label }, results], index) => {
    const kinds = [...results.values()].flatMap(({ kinds }) => kinds)
    return [...new Set(kinds.map(({ kind }) => kind))].map((name): ResultRow => {
      const of = kinds.filter(({ kind }) => kind === name)
      const sums = [of.map(({ asked }) => asked), of.map(({ onTime }) => onTime), of.map(({ late }) => late), of.map(({ refused }) => refused), of.map(({ failed }) => failed)]
      return { label: `${name}, ${label}`, baseline: index === 0, cells: sums.map((counts) => spreadOf([counts.reduce((sum, count) => sum + count, 0)])) }
    })
  })
  return { title: 'Requests by kind, all days', labelName: 'kind, version', columns, rows }
}

function priceTable (byVersion: ReadonlyMap<DayVersion, Results>): ResultTable {
  const names = [...new Set([...byVersion.values()].flatMap((results) => [...results.values()].flatMap(({ prices }) => [...prices.keys()])))]
  const columns = [...byVersion.keys()].map(({ label }) => ({ name: label, digits: 4 }))
  const rows = names.map((name): ResultRow => ({
    label: name, baseline: false, cells: [...byVersion.values()].map((results) => results.size === 0 ? null : spreadOf([jStat.mean([...results.values()].map(({ prices }) => prices.get(name) ?? 0))]))
  }))
  return { title: 'Prices, mean a day', labelName: 'price', columns, rows }
}

function worthPlot (byVersion: ReadonlyMap<DayVersion, Results>, keys: readonly string[]): ResultPlot {
  const series = [...byVersion].map(([{ label }, results]) => ({
    name: label, points: keys.flatMap((key, index) => results.has(key) ? [[index, results.get(key)!.worth] as const] : [])
  }))
  return { title: 'Worth of each day played', xName: 'day, in order of the plan', yName: 'worth', series }
}
