import { createHmac, timingSafeEqual } from 'node:crypto'
import type { PeerCertificate } from 'node:tls'
import type { NodeId } from 'dotterelspur'

export enum CredentialsKind {
  /** Each node has a certificate, issued by a common authority, that names the node; both ends verify the other's. */
  MutualTls = 'mutual-tls',
  /** All nodes share one key and prove it by challenge and response. For loopback and trusted networks only: connections are not encrypted. */
  SharedKey = 'shared-key'
}

/** Credentials by which a node authenticates itself: the contents of the PEM files, not their paths. */
export type MeshCredentials =
  | { readonly kind: CredentialsKind.MutualTls, readonly certificate: string, readonly privateKey: string, readonly authority: string }
  | { readonly kind: CredentialsKind.SharedKey, readonly key: string }

/** The end of the connection that a proof authenticates, so that a proof cannot be replayed to the end that created it. */
export enum ProofRole {
  Dialer = 'dialer',
  Acceptor = 'acceptor'
}

/** The values that a proof is bound to: both ends' nonces and process names. */
export interface ProofSubject {
  readonly dialerNonce: string
  readonly acceptorNonce: string
  readonly dialer: string
  readonly acceptor: string
}

/** Creates a proof of the shared key. With mutual TLS the certificate authenticates the node, and the proof is empty. */
export function createProof (credentials: MeshCredentials, role: ProofRole, subject: ProofSubject): string {
  if (credentials.kind === CredentialsKind.MutualTls) return ''
  const text = [role, subject.dialerNonce, subject.acceptorNonce, subject.dialer, subject.acceptor].join('\n')
  return createHmac('sha256', credentials.key).update(text).digest('base64url')
}

export function checkProof (credentials: MeshCredentials, role: ProofRole, subject: ProofSubject, proof: string): boolean {
  const expected = Buffer.from(createProof(credentials, role, subject))
  const given = Buffer.from(proof)
  return expected.length === given.length && timingSafeEqual(expected, given)
}

/** Whether a certificate names the node, as a DNS subject alternative name or as the subject's common name. */
export function isNamedInCertificate (certificate: PeerCertificate, node: NodeId): boolean {
  const names = (certificate.subjectaltname ?? '').split(', ').filter((name) => name.startsWith('DNS:')).map((name) => name.slice('DNS:'.length))
  return names.includes(node) || certificate.subject?.CN === node
}
