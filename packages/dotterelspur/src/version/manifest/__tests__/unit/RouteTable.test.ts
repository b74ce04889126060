import { expect } from 'chai'
import { RequestKind, type Manifest, type Route } from '../../Manifest.js'
import { AccessKind, RouteTable } from '../../RouteTable.js'

function createRoute (name: string, pathPrefix: string, changes: Partial<Route> = {}): Route {
  return {
    name,
    pathPrefix,
    host: 'a.example',
    kind: RequestKind.Idempotent,
    timeoutMs: 800,
    targetLatencyMs: 300,
    targetGapMs: null,
    maxAttempts: 2,
    priority: 3,
    isPublic: false,
    resumable: false,
    shares: [{ service: 's', weight: 1 }],
    ...changes
  }
}

function createTable (routes: readonly Route[], changes: Partial<Manifest> = {}): RouteTable {
  return new RouteTable({
    version: 1,
    routes,
    services: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: [{ workspace: 'w', keys: ['k1', 'k2'], priority: null }, { workspace: 'v', keys: ['k3'], priority: 1 }],
    ...changes
  })
}

describe('RouteTable', () => {
  const table = createTable([createRoute('short', '/a/'), createRoute('long', '/a/b/'), createRoute('open', '/open/', { isPublic: true }), createRoute('other', '/a/', { host: 'b.example' })])

  it('selects the host\'s route with the longest matching prefix', () => {
    const access = table.access({ host: 'a.example', path: '/a/b/c', key: 'k1' })
    expect(access).to.deep.include({ kind: AccessKind.Allowed, workspace: 'w', priority: 3 })
    expect(access.kind === AccessKind.Allowed && access.route.name).to.equal('long')
    const other = table.access({ host: 'b.example', path: '/a/b/c', key: 'k2' })
    expect(other.kind === AccessKind.Allowed && other.route.name).to.equal('other')
  })

  it('finds no route for other hosts and paths, nor for a prefix without its trailing slash', () => {
    for (const query of [{ host: 'c.example', path: '/a/' }, { host: 'a.example', path: '/' }, { host: 'a.example', path: '/a' }]) {
      expect(table.access({ ...query, key: 'k1' }).kind).to.equal(AccessKind.NoRoute)
    }
  })

  it('requires a key unless the route is public', () => {
    expect(table.access({ host: 'a.example', path: '/a/x', key: null }).kind).to.equal(AccessKind.Unauthorized)
    expect(table.access({ host: 'a.example', path: '/a/x', key: 'unknown' }).kind).to.equal(AccessKind.Unauthorized)
    expect(table.access({ host: 'a.example', path: '/open/x', key: null })).to.deep.include({ kind: AccessKind.Allowed, workspace: null })
  })

  it('uses a workspace\'s priority instead of the route\'s', () => {
    expect(table.access({ host: 'a.example', path: '/a/x', key: 'k3' })).to.deep.include({ workspace: 'v', priority: 1 })
  })

  it('requires no key if there are no workspaces', () => {
    const open = createTable([createRoute('short', '/a/')], { workspaces: [] })
    expect(open.access({ host: 'a.example', path: '/a/x', key: null }).kind).to.equal(AccessKind.Allowed)
  })
})
