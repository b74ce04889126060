import { readFileSync } from 'node:fs'
import { failed, success, type Result } from 'dotterelspur'
import {
  MeshSecurityKind, parseNodeSettings, readSecret,
  type MeshSecurity, type NodeSettings, type SecretLocation, type SecretSource
} from 'dotterelspur-settings'
import { NodeErrorKind, type NodeError } from './NodeError.js'

/** The credentials by which nodes authenticate to each other, read from the settings or the files that they name. */
export type MeshSecrets =
  | { readonly kind: MeshSecurityKind.SharedKey, readonly key: string }
  | { readonly kind: MeshSecurityKind.MutualTls, readonly certificate: string, readonly key: string, readonly authority: string }

/** The settings, with the contents of every file that they name, read once at start. */
export interface LoadedSettings {
  readonly settings: NodeSettings
  readonly meshSecrets: MeshSecrets
  readonly adminToken: string
  readonly platformToken: string | null
}

/**
 * Reads and checks a node's settings file and the secret files that it names. An empty secret file is rejected:
 * with an empty shared key, any process could join the mesh by presenting an empty key.
 */
export function loadNodeSettings (path: string): Result<LoadedSettings, NodeError> {
  const content = readBytes(path)
  if (!content.ok) return content
  const parsed = parseNodeSettings(content.value, path)
  if (!parsed.ok) return failed({ kind: NodeErrorKind.InvalidSettings, error: parsed.error })
  const settings = parsed.value
  const meshSecrets = readMeshSecrets(settings.mesh.security, path)
  if (!meshSecrets.ok) return meshSecrets
  const adminToken = readCheckedSecret(settings.admin.token, { file: path, section: 'admin', key: 'token' })
  if (!adminToken.ok) return adminToken
  const { token } = settings.platform
  const platformToken = token === null ? success(null) : readCheckedSecret(token, { file: path, section: 'platform', key: 'token' })
  if (!platformToken.ok) return platformToken
  return success({ settings, meshSecrets: meshSecrets.value, adminToken: adminToken.value, platformToken: platformToken.value })
}

function readMeshSecrets (security: MeshSecurity, file: string): Result<MeshSecrets, NodeError> {
  if (security.kind === MeshSecurityKind.SharedKey) {
    const key = readCheckedSecret(security.key, { file, section: 'mesh', key: 'shared-key' })
    return key.ok ? success({ kind: security.kind, key: key.value }) : key
  }
  const certificate = readText(security.certificateFile)
  if (!certificate.ok) return certificate
  const key = readText(security.keyFile)
  if (!key.ok) return key
  const authority = readText(security.authorityFile)
  if (!authority.ok) return authority
  return success({ kind: security.kind, certificate: certificate.value, key: key.value, authority: authority.value })
}

function readCheckedSecret (source: SecretSource, location: SecretLocation): Result<string, NodeError> {
  const secret = readSecret(source, location, (path) => readFileSync(path, 'utf8'))
  return secret.ok ? secret : failed({ kind: NodeErrorKind.InvalidSettings, error: secret.error })
}

function readText (path: string): Result<string, NodeError> {
  const bytes = readBytes(path)
  return bytes.ok ? success(bytes.value.toString('utf8')) : bytes
}

function readBytes (path: string): Result<Buffer, NodeError> {
  try {
    return success(readFileSync(path))
  } catch (error) {
    return failed({ kind: NodeErrorKind.UnreadableFile, path, reason: (error as Error).message })
  }
}
