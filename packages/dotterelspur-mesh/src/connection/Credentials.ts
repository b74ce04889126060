import { createHmac, timingSafeEqual } from 'node:crypto'
import type { PeerCertificate } from 'node:tls'
import type { NodeId } from 'dotterelspur'

export enum CredentialsKind {
  /** Each node has a certificate of one authority that names the node; both ends check. */
  MutualTls = 'mutual-tls',
  /** One key for all nodes, proved by challenge, on plain connections. For loopback and for trusted networks only: frames are not encrypted. */
  SharedKey = 'shared-key'
}

/** What a node proves itself with. The contents of the files, in PEM, not their paths. */
export type MeshCredentials =
  | { readonly kind: CredentialsKind.MutualTls, readonly certificate: string, readonly privateKey: string, readonly authority: string }
  | { readonly kind: CredentialsKind.SharedKey, readonly key: string }

/** Which end of the connection proves itself: a proof can't be sent back to its maker. */
export enum ProofRole {
  Dialer = 'dialer',
  Acceptor = 'acceptor'
}

/** What a proof is bound to: both challenges and both processes. */
export interface ProofSubject {
  readonly dialerNonce: string
  readonly acceptorNonce: string
  readonly dialer: string
  readonly acceptor: string
}

/** Proof of the shared key. Without one, the certificate proves the node and the proof is empty. */
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

/** Whether a certificate names the node: as a DNS name of its alternative names, or as the subject's common name. */
export function isNamedInCertificate (certificate: PeerCertificate, node: NodeId): boolean {
  const names = (certificate.subjectaltname ?? '').split(', ').filter((name) => name.startsWith('DNS:')).map((name) => name.slice('DNS:'.length))
  return names.includes(node) || certificate.subject?.CN === node
}
