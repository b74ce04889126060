import { isIPv4 } from 'node:net'
import { failed, invariant, success, type Result } from 'dotterelspur'
import { NODE_SECTIONS, adminSection, domainEndpointsSection, endpointsSection, entrySection, meshSection, nodeLimitsSection, nodeSection, platformSection, timingSection } from './NodeSchema.js'
import { MeshSecurityKind, SecretSourceKind, type AdminListenerSettings, type FencingSettings, type MeshListenerSettings, type MeshSecurity, type NodeSettings, type PlatformSettings, type SecretSource } from './NodeSettings.js'
import { checkSections, type CheckedSections } from './SectionSpec.js'
import { SettingsProblemKind, createSettingsError, type SettingsError, type SettingsProblem } from './SettingsError.js'
import { readSettingsText } from './SettingsText.js'

/**
 * Parses a node's settings. All problems are reported at once, and a file with any problem is rejected. Files named
 * in the settings are not read here; see readSecret.
 *
 * @param content the INI text, or its bytes.
 * @param file the file name for errors.
 */
export function parseNodeSettings (content: string | Uint8Array, file: string): Result<NodeSettings, SettingsError> {
  const text = readSettingsText(content, file)
  if (!text.ok) return text
  const { sections, problems } = checkSections(file, NODE_SECTIONS, text.value)
  if (problems.length > 0) return failed(createSettingsError(problems))
  const exposure = findSharedKeyExposure(file, sections)
  if (exposure !== null) return failed(createSettingsError([exposure]))
  const node = sections.single(nodeSection)
  return success({
    ...node,
    entry: sections.single(entrySection),
    mesh: readMesh(sections),
    admin: readAdmin(sections),
    platform: readPlatform(sections),
    fencing: readFencing(sections),
    timing: sections.single(timingSection),
    limits: sections.single(nodeLimitsSection)
  })
}

function secretSource (text: string | undefined, path: string | undefined): SecretSource | null {
  if (text !== undefined) return { kind: SecretSourceKind.Text, text }
  if (path !== undefined) return { kind: SecretSourceKind.File, path }
  return null
}

function readMesh (sections: CheckedSections): MeshListenerSettings {
  const { port, advertise, seeds } = sections.single(meshSection)
  return { port, advertise: advertise ?? null, seeds, security: readMeshSecurity(sections) }
}

function readMeshSecurity (sections: CheckedSections): MeshSecurity {
  const { sharedKey, sharedKeyFile, certificateFile, keyFile, authorityFile } = sections.single(meshSection)
  const key = secretSource(sharedKey, sharedKeyFile)
  if (key !== null) return { kind: MeshSecurityKind.SharedKey, key }
  invariant(certificateFile !== undefined && keyFile !== undefined && authorityFile !== undefined, 'mesh security was checked')
  return { kind: MeshSecurityKind.MutualTls, certificateFile, keyFile, authorityFile }
}

function readAdmin (sections: CheckedSections): AdminListenerSettings {
  const { port, token, tokenFile, metrics, maxConnections } = sections.single(adminSection)
  const source = secretSource(token, tokenFile)
  invariant(source !== null, 'the admin token was checked')
  return { port, token: source, metrics, maxConnections }
}

function readPlatform (sections: CheckedSections): PlatformSettings {
  const { token, tokenFile, ...rest } = sections.single(platformSection)
  return { ...rest, token: secretSource(token, tokenFile) }
}

function readFencing (sections: CheckedSections): FencingSettings {
  const overrides = sections.all(domainEndpointsSection).map(({ arguments: [domain], value }) => [domain!, value.fencing] as const)
  return { defaultMode: sections.single(endpointsSection).fencing, overrides: new Map(overrides) }
}

/** Reports a shared key outside loopback: its connections are unencrypted, so others on the network path could read or change messages between nodes. */
function findSharedKeyExposure (file: string, sections: CheckedSections): SettingsProblem | null {
  const { host } = sections.single(nodeSection)
  const { sharedKey, sharedKeyFile } = sections.single(meshSection)
  if ((sharedKey === undefined && sharedKeyFile === undefined) || isLoopback(host)) return null
  return { kind: SettingsProblemKind.InvalidRelation, file, line: null, section: 'mesh', key: 'shared-key', found: `host ${host}`, accepted: 'a shared key only where host is a loopback address; certificate-file, key-file and authority-file elsewhere' }
}

/** Whether an IP address is a loopback address. */
export function isLoopback (host: string): boolean {
  return isIPv4(host) ? host.startsWith('127.') : host === '::1'
}
