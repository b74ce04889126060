import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { NodeErrorKind, loadNodeSettings } from '../../index.js'

const KEY = '0123456789abcdef0123456789abcdef'

interface FileFixture {
  readonly settingsPath: string
  remove (): void
}

/** Writes node settings that name a file for the mesh's shared key, and that file with `keyText`; null leaves the file out. */
function createFileFixture (keyText: string | null): FileFixture {
  const directory = mkdtempSync(join(tmpdir(), 'dotterelspur-settings-'))
  const keyPath = join(directory, 'mesh.key')
  if (keyText !== null) writeFileSync(keyPath, keyText)
  const settingsPath = join(directory, 'node.ini')
  writeFileSync(settingsPath, [
    '[node]', 'id = node-1', 'region = perth', 'failure-domain = perth-a', 'host = 127.0.0.1',
    '[mesh]', `shared-key-file = ${keyPath}`,
    '[admin]', `token = ${KEY}`,
    '[platform]', 'url = http://127.0.0.1:9'
  ].join('\n'))
  return { settingsPath, remove: () => { rmSync(directory, { recursive: true }) } }
}

describe('loadNodeSettings', () => {
  const table = [
    { title: 'reads the key from the file, without the line end', keyText: `${KEY}\n`, accepted: true },
    // Failure: an unauthorized process joins the mesh and receives every team's settings. The shared key file is
    // empty and its text is used unchecked, so that the process authenticates with an empty key.
    { title: 'rejects an empty key', keyText: '', accepted: false },
    { title: 'rejects a key of white space', keyText: '   \n', accepted: false },
    { title: 'rejects a short key', keyText: 'secret', accepted: false },
    { title: 'rejects a missing file', keyText: null, accepted: false }
  ]
  for (const { title, keyText, accepted } of table) {
    it(title, () => {
      const fixture = createFileFixture(keyText)
      const loaded = loadNodeSettings(fixture.settingsPath)
      fixture.remove()
      expect(loaded.ok).to.equal(accepted)
      if (!loaded.ok) expect(loaded.error.kind).to.equal(NodeErrorKind.InvalidSettings)
      if (loaded.ok) expect(loaded.value.meshSecrets).to.deep.include({ key: KEY })
    })
  }
})
