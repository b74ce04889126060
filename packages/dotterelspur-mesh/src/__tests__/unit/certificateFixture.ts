import { generate } from 'selfsigned'
import { CredentialsKind, type MeshCredentials } from '../../index.js'

const DAY_MS = 86_400_000

interface KeyPair {
  readonly private: string
  readonly cert: string
}

/** Creates a certificate authority for one test. */
export async function createAuthority (name: string): Promise<KeyPair> {
  return await generate([{ name: 'commonName', value: name }], {
    keyType: 'ec', algorithm: 'sha256', extensions: [{ name: 'basicConstraints', cA: true, critical: true }, { name: 'keyUsage', keyCertSign: true, cRLSign: true }]
  })
}

/** Creates the credentials of one node; a negative `daysValid` gives an expired certificate. */
export async function createCertificate (authority: KeyPair, node: string, daysValid = 1, trusted = authority): Promise<MeshCredentials> {
  const pair = await generate([{ name: 'commonName', value: node }], {
    keyType: 'ec',
    algorithm: 'sha256',
    notBeforeDate: new Date(Date.now() - 10 * DAY_MS),
    notAfterDate: new Date(Date.now() + daysValid * DAY_MS),
    ca: { key: authority.private, cert: authority.cert },
    extensions: [{ name: 'basicConstraints', cA: false }, { name: 'subjectAltName', altNames: [{ type: 2, value: node }] }]
  })
  return { kind: CredentialsKind.MutualTls, certificate: pair.cert, privateKey: pair.private, authority: trusted.cert }
}
