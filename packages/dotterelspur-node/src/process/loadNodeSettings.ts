import { readFile } from 'node:fs/promises'
import { failed, success, type Result } from 'dotterelspur'
import { MeshSecurityKind, SecretSourceKind, parseNodeSettings, type MeshSecurity, type NodeSettings, type SecretSource } from 'dotterelspur-settings'
import { NodeErrorKind, type NodeError } from './NodeError.js'

/** What nodes show each other, read from where the settings say. */
export type MeshSecrets =
  | { readonly kind: MeshSecurityKind.SharedKey, readonly key: string }
  | { readonly kind: MeshSecurityKind.MutualTls, readonly certificate: string, readonly key: string, readonly authority: string }

/** The settings with every file that they name read once, at start. */
export interface LoadedSettings {
  readonly settings: NodeSettings
  readonly meshSecrets: MeshSecrets
  readonly adminToken: string
  readonly platformToken: string | null
}

/** Reads and checks a node's settings file and the files of secrets that it names. */
export async function loadNodeSettings (path: string): Promise<Result<LoadedSettings, NodeError>> {
  const content = await readBytes(path)
  if (!content.ok) return content
  const parsed = parseNodeSettings(content.value, path)
  if (!parsed.ok) return failed({ kind: NodeErrorKind.InvalidSettings, error: parsed.error })
  const settings = parsed.value
  const meshSecrets = await readMeshSecrets(settings.mesh.security)
  if (!meshSecrets.ok) return meshSecrets
  const adminToken = await readSecret(settings.admin.token)
  if (!adminToken.ok) return adminToken
  const platformToken = settings.platform.token === null ? success(null) : await readSecret(settings.platform.token)
  if (!platformToken.ok) return platformToken
  return success({ settings, meshSecrets: meshSecrets.value, adminToken: adminToken.value, platformToken: platformToken.value })
}

async function readMeshSecrets (security: MeshSecurity): Promise<Result<MeshSecrets, NodeError>> {
  if (security.kind === MeshSecurityKind.SharedKey) {
    const key = await readSecret(security.key)
    return key.ok ? success({ kind: security.kind, key: key.value }) : key
  }
  const certificate = await readText(security.certificateFile)
  if (!certificate.ok) return certificate
  const key = await readText(security.keyFile)
  if (!key.ok) return key
  const authority = await readText(security.authorityFile)
  if (!authority.ok) return authority
  return success({ kind: security.kind, certificate: certificate.value, key: key.value, authority: authority.value })
}

async function readSecret (source: SecretSource): Promise<Result<string, NodeError>> {
  if (source.kind === SecretSourceKind.Text) return success(source.text)
  const text = await readText(source.path)
  return text.ok ? success(text.value.trim()) : text
}

async function readText (path: string): Promise<Result<string, NodeError>> {
  const bytes = await readBytes(path)
  return bytes.ok ? success(bytes.value.toString('utf8')) : bytes
}

async function readBytes (path: string): Promise<Result<Buffer, NodeError>> {
  try {
    return success(await readFile(path))
  } catch (error) {
    return failed({ kind: NodeErrorKind.UnreadableFile, path, reason: (error as Error).message })
  }
}
