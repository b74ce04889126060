import { EvidenceKind, MemberHealth, type EvidenceBody, type FullEvidence, type GroupPresence, type LoadReport, type MemberRecord, type MeshDocument, type ServicePresence, type LoadUpdate } from 'dotterelspur'
import type { FieldReader } from './FieldReader.js'

const HEALTHS = [MemberHealth.Alive, MemberHealth.Suspect, MemberHealth.Dead, MemberHealth.Left]

/** Each value is encoded as an array of its fields in a fixed order: field names would take up most of the bytes. */
export function writeMember (record: MemberRecord): unknown[] {
  return [record.node, record.incarnation, record.revision, record.health, record.draining, record.region, record.failureDomain, record.meshAddress, record.entryAddress, record.adminAddress]
}

export function readMember (fields: FieldReader): MemberRecord {
  return {
    node: fields.text('node'),
    incarnation: fields.integer('incarnation'),
    revision: fields.integer('revision'),
    health: fields.oneOf('health', HEALTHS),
    draining: fields.flag('draining'),
    region: fields.text('region'),
    failureDomain: fields.text('failureDomain'),
    meshAddress: fields.text('meshAddress'),
    entryAddress: fields.text('entryAddress'),
    adminAddress: fields.text('adminAddress')
  }
}

export function readHealth (fields: FieldReader): MemberHealth {
  return fields.oneOf('health', HEALTHS)
}

export function writeDocument (document: MeshDocument): unknown[] {
  return [document.key, document.version, document.deleted, document.body]
}

export function readDocument (fields: FieldReader): MeshDocument {
  return { key: fields.text('key'), version: fields.integer('version', 1), deleted: fields.flag('deleted'), body: fields.any() }
}

const RATIO_STEPS = 1000

function writeLoad (load: LoadReport): unknown[] {
  return [load.running, load.waiting, load.capacity, Math.round(load.cacheUsed * RATIO_STEPS), Math.ceil(load.ageMs)]
}

function readLoad (fields: FieldReader): LoadReport {
  return {
    running: fields.number('running'),
    waiting: fields.number('waiting'),
    capacity: fields.number('capacity'),
    cacheUsed: fields.integer('cacheUsed') / RATIO_STEPS,
    ageMs: fields.integer('loadAgeMs')
  }
}

function writeGroup (presence: GroupPresence): unknown[] {
  return [presence.group, presence.fabricDomain, presence.failureDomain, presence.formation, presence.complete, presence.leaving, presence.ageMs, writeLoad(presence.load)]
}

function readGroup (fields: FieldReader): GroupPresence {
  return {
    group: fields.text('group'),
    fabricDomain: fields.text('fabricDomain'),
    failureDomain: fields.text('failureDomain'),
    formation: fields.integer('formation'),
    complete: fields.flag('complete'),
    leaving: fields.flag('leaving'),
    ageMs: fields.integer('ageMs'),
    load: fields.nestedFields('load', readLoad)
  }
}

function writeService (presence: ServicePresence): unknown[] {
  return [presence.vm, presence.incarnation, presence.service, presence.failureDomain, presence.address, presence.present, presence.leaving, presence.ageMs, writeLoad(presence.load)]
}

function readService (fields: FieldReader): ServicePresence {
  return {
    vm: fields.text('vm'),
    incarnation: fields.integer('incarnation'),
    service: fields.text('service'),
    failureDomain: fields.text('failureDomain'),
    address: fields.text('address'),
    present: fields.flag('present'),
    leaving: fields.flag('leaving'),
    ageMs: fields.integer('ageMs'),
    load: fields.nestedFields('load', readLoad)
  }
}

export function writeFullLine (line: FullEvidence): unknown[] {
  const body = line.body.kind === EvidenceKind.Group ? writeGroup(line.body.presence) : writeService(line.body.presence)
  return [line.index, line.watcher, line.body.kind, body]
}

export function readFullLine (fields: FieldReader): FullEvidence {
  const index = fields.integer('index')
  const watcher = fields.text('watcher')
  const kind = fields.oneOf('kind', [EvidenceKind.Group, EvidenceKind.Service])
  const body: EvidenceBody = kind === EvidenceKind.Group
    ? { kind, presence: fields.nestedFields('group', readGroup) }
    : { kind, presence: fields.nestedFields('service', readService) }
  return { index, watcher, body }
}

export function writeShortLine (line: LoadUpdate): unknown[] {
  return [line.index, line.ageMs, line.running, line.waiting, line.cachePercent, line.loadAgeMs]
}

export function readShortLine (fields: FieldReader): LoadUpdate {
  return {
    index: fields.integer('index'),
    ageMs: fields.integer('ageMs'),
    running: fields.number('running'),
    waiting: fields.number('waiting'),
    cachePercent: fields.integer('cachePercent'),
    loadAgeMs: fields.integer('loadAgeMs')
  }
}
