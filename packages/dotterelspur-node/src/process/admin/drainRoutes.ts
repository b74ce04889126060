import {
  AuditKind, DRAIN_PREFIX, NODE_DRAIN_PREFIX, StoreErrorKind, failed, homeOf, perform, runProcedure, success,
  type DrainObject, type MeshApi, type Procedure, type Result
} from 'dotterelspur'
import { AdminErrorKind, DrainTargetKind, drainRequestSchema, type AdminError, type DrainList, type DrainReply, type DrainRequest } from 'dotterelspur-settings'
import { createAdminHandlers, publish, read, record, remove, write, type AdminEffect } from './AdminEffects.js'
import { fromStoreError, notFound } from './AdminError.js'
import { meshSourceFields, parseInput, type AdminContext, type AdminRequest, type AdminRoute } from './AdminRoute.js'
import { AdminAccess, AdminScopeKind, actorName, canView, type AdminScope } from './AdminScope.js'
import { teamOfGroup } from './fleetViews.js'

/** Routes to request and cancel drains of VMs, groups and nodes. A drained target takes no new work. */
export const DRAIN_ROUTES: readonly AdminRoute[] = [
  { method: 'GET', url: '/admin/drains', access: AdminAccess.Operator, handler: listDrains },
  { method: 'PUT', url: '/admin/drains/:kind/:target', access: AdminAccess.Operator, handler: putDrain },
  { method: 'DELETE', url: '/admin/drains/:kind/:target', access: AdminAccess.Operator, handler: removeDrain }
]

const TARGET_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/

const KEY_PREFIX: Readonly<Record<DrainTargetKind, string>> = {
  [DrainTargetKind.Vm]: DRAIN_PREFIX,
  [DrainTargetKind.Group]: DRAIN_PREFIX,
  [DrainTargetKind.Node]: NODE_DRAIN_PREFIX
}

interface Target {
  readonly kind: DrainTargetKind
  readonly name: string
  readonly key: string
  /** The target written into the drain object. For a node it includes the incarnation, so that the next process of the node is not drained too. */
  readonly objectTarget: string
}

type TargetCheck = (name: string, context: AdminContext) => boolean

/** Whether a target exists. A drain of an unknown name would stay in the store and drain whatever gets that name later. */
const TARGET_EXISTS: Readonly<Record<DrainTargetKind, TargetCheck>> = {
  [DrainTargetKind.Group]: (name, { backend }) => teamOfGroup(backend.mesh, name) !== null,
  [DrainTargetKind.Node]: (name, { backend }) => backend.mesh.members().some((member) => member.node === name),
  // Not checked: the platform's list of VMs lags, so a VM that exists may be missing from it.
  [DrainTargetKind.Vm]: () => true
}

type DrainObjectTarget = (name: string, context: AdminContext) => string

const DRAIN_OBJECT_TARGETS: Readonly<Record<DrainTargetKind, DrainObjectTarget>> = {
  [DrainTargetKind.Vm]: (name) => name,
  [DrainTargetKind.Group]: (name) => name,
  [DrainTargetKind.Node]: (name, { backend }) => {
    const member = backend.mesh.members().find((candidate) => candidate.node === name)
    return member === undefined ? name : homeOf(member)
  }
}

function readTarget (request: AdminRequest, context: AdminContext): Result<Target, AdminError> {
  const kind = Object.values(DrainTargetKind).find((value) => value === request.params['kind'])
  const name = request.params['target']!
  if (kind === undefined || !TARGET_PATTERN.test(name)) {
    return failed({ kind: AdminErrorKind.InvalidRequest, message: `accepted: /admin/drains/<${Object.values(DrainTargetKind).join('|')}>/<name>` })
  }
  if (!canDrain(request.scope, kind, name, context)) return failed({ kind: AdminErrorKind.Forbidden, message: 'this token may drain only groups of its own team' })
  return success({ kind, name, key: KEY_PREFIX[kind] + name, objectTarget: DRAIN_OBJECT_TARGETS[kind](name, context) })
}

function canDrain (scope: AdminScope, kind: DrainTargetKind, name: string, { backend }: AdminContext): boolean {
  if (scope.kind === AdminScopeKind.Fleet) return true
  return kind === DrainTargetKind.Group && canView(scope, teamOfGroup(backend.mesh, name))
}

function listDrains (request: AdminRequest, { backend }: AdminContext): Result<DrainList, AdminError> {
  const drains = backend.mesh.documents(DRAIN_PREFIX)
    .filter((document) => !document.deleted)
    .map((document) => ({ key: document.key, drain: document.body as DrainObject }))
    .map(({ key, drain }) => {
      const kind = kindOf(key, drain.target, backend.mesh)
      return { kind, target: key.slice(KEY_PREFIX[kind].length), requestedBy: drain.requestedBy, requestedAtWallMs: drain.requestedAtWallMs, reason: drain.reason }
    })
    .filter((line) => canView(request.scope, line.kind === DrainTargetKind.Group ? teamOfGroup(backend.mesh, line.target) : null))
  return success({ ...meshSourceFields(backend), drains })
}

function kindOf (key: string, target: string, mesh: MeshApi): DrainTargetKind {
  if (key.startsWith(NODE_DRAIN_PREFIX)) return DrainTargetKind.Node
  return teamOfGroup(mesh, target) === null ? DrainTargetKind.Vm : DrainTargetKind.Group
}

async function putDrain (request: AdminRequest, context: AdminContext): Promise<Result<unknown, AdminError>> {
  const target = readTarget(request, context)
  if (!target.ok) return target
  const input = parseInput(drainRequestSchema, request.body)
  if (!input.ok) return input
  if (!TARGET_EXISTS[target.value.kind](target.value.name, context)) return notFound(`${target.value.kind} ${target.value.name} is not known`)
  const { backend } = context
  const actor = actorName(request.scope, input.value.operator)
  const procedure = drain(target.value, input.value, actor, backend.clock.wallMs())
  const result = await runProcedure<AdminEffect, Result<DrainReply, AdminError>>(procedure, createAdminHandlers(backend))
  return !result.ok && isSelf(target.value, context) ? drainThisNode(input.value, actor, context) : result
}

function isSelf (target: Target, { backend }: AdminContext): boolean {
  return target.kind === DrainTargetKind.Node && target.name === backend.mesh.self.node
}

/** Drains this node without the store: the drain object is needed only to pass the request on to other nodes. */
function drainThisNode (request: DrainRequest, actor: string, { backend }: AdminContext): Result<DrainReply, AdminError> {
  backend.drainSelf(`${actor}: ${request.reason}`)
  return success({ kind: DrainTargetKind.Node, target: backend.mesh.self.node, drained: true })
}

function * drain (target: Target, request: DrainRequest, actor: string, wallMs: number): Procedure<AdminEffect, Result<DrainReply, AdminError>> {
  const reply = { kind: target.kind, target: target.name, drained: true }
  const body: DrainObject = { writeToken: request.changeToken, target: target.objectTarget, requestedBy: actor, requestedAtWallMs: wallMs, reason: request.reason }
  const current = yield * perform(read(target.key))
  if (!current.ok && current.error.kind !== StoreErrorKind.NotFound) return failed(fromStoreError(current.error))
  // The drain was already requested, by an earlier attempt at this request or by another operator.
  if (current.ok && (current.value.body as DrainObject).target === target.objectTarget) return success(reply)
  const written = yield * perform(write(target.key, body, current.ok ? current.value.version : null))
  if (!written.ok) return failed(fromStoreError(written.error))
  const { version } = written.value
  yield * perform(publish({ key: target.key, version, body: written.value.body, deleted: false }))
  yield * perform(record(request.changeToken, version, auditRecord(target, request, actor, wallMs, null, 'drained')))
  return success(reply)
}

function auditRecord (target: Target, request: DrainRequest, actor: string, wallMs: number, before: string | null, after: string | null) {
  return { kind: AuditKind.DrainRequested, atWallMs: wallMs, actor, subject: target.key, before, after, reason: request.reason, rejected: [] }
}

async function removeDrain (request: AdminRequest, context: AdminContext): Promise<Result<unknown, AdminError>> {
  const target = readTarget(request, context)
  if (!target.ok) return target
  const input = parseInput(drainRequestSchema, request.body)
  if (!input.ok) return input
  const procedure = undrain(target.value, input.value, actorName(request.scope, input.value.operator), context.backend.clock.wallMs())
  return runProcedure<AdminEffect, Result<DrainReply, AdminError>>(procedure, createAdminHandlers(context.backend))
}

function * undrain (target: Target, request: DrainRequest, actor: string, wallMs: number): Procedure<AdminEffect, Result<DrainReply, AdminError>> {
  const reply = { kind: target.kind, target: target.name, drained: false }
  const current = yield * perform(read(target.key))
  if (!current.ok && current.error.kind === StoreErrorKind.NotFound) return success(reply)
  if (!current.ok) return failed(fromStoreError(current.error))
  const removed = yield * perform(remove(target.key, current.value.version))
  if (!removed.ok) return failed(fromStoreError(removed.error))
  const { version } = removed.value
  yield * perform(publish({ key: target.key, version, body: null, deleted: true }))
  yield * perform(record(request.changeToken, version, auditRecord(target, request, actor, wallMs, 'drained', null)))
  return success(reply)
}
