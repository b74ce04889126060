import type { WorkspaceId } from '../../process/ids.js'
import type { Manifest, Route, ServiceSpec, Workspace } from './Manifest.js'

export enum AccessKind {
  Allowed = 'allowed',
  /** No route of the host has a prefix of the path. */
  NoRoute = 'no-route',
  /** The route requires a workspace's key, and the request has none. */
  Unauthorized = 'unauthorized'
}

export type Access =
  | { readonly kind: AccessKind.Allowed, readonly route: Route, readonly workspace: WorkspaceId | null, readonly priority: number }
  | { readonly kind: AccessKind.NoRoute }
  | { readonly kind: AccessKind.Unauthorized, readonly route: Route }

/** Input of an access check: the host without port, the path without query, and the key as the caller sent it. */
export interface AccessQuery {
  readonly host: string
  readonly path: string
  readonly key: string | null
}

/** Look-up tables for one version of the manifest. Immutable: each version gets a new table. */
export class RouteTable {
  readonly version: number
  private readonly routesByHost = new Map<string, Route[]>()
  private readonly workspacesByKey = new Map<string, Workspace>()
  private readonly servicesByName = new Map<string, ServiceSpec>()

  constructor (readonly manifest: Manifest) {
    this.version = manifest.version
    for (const route of manifest.routes) this.addRoute(route)
    for (const routes of this.routesByHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    for (const workspace of manifest.workspaces) {
      for (const key of workspace.keys) this.workspacesByKey.set(key, workspace)
    }
    for (const service of manifest.services) this.servicesByName.set(service.service, service)
  }

  service (name: string): ServiceSpec | undefined {
    return this.servicesByName.get(name)
  }

  /** Checks access by the route of the host with the longest matching path prefix. */
  access (query: AccessQuery): Access {
    const route = this.routesByHost.get(query.host)?.find(({ pathPrefix }) => query.path.startsWith(pathPrefix))
    if (route === undefined) return { kind: AccessKind.NoRoute }
    const workspace = query.key === null ? undefined : this.workspacesByKey.get(query.key)
    const needsKey = !route.isPublic && this.manifest.workspaces.length > 0
    if (needsKey && workspace === undefined) return { kind: AccessKind.Unauthorized, route }
    return {
      kind: AccessKind.Allowed,
      route,
      workspace: workspace?.workspace ?? null,
      priority: workspace?.priority ?? route.priority
    }
  }

  private addRoute (route: Route): void {
    const routes = this.routesByHost.get(route.host)
    if (routes === undefined) this.routesByHost.set(route.host, [route])
    else routes.push(route)
  }
}
