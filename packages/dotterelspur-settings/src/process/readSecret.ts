import { failed, success, type Result } from 'dotterelspur'
import { SecretSourceKind, type SecretSource } from './NodeSettings.js'
import { SettingsProblemKind, quoteFound, type SettingsError } from './SettingsError.js'

const SECRET_PATTERN = /^[\x21-\x7e]{16,512}$/

/** The location of a secret in the settings, for errors. */
export interface SecretLocation {
  readonly file: string
  readonly section: string
  /** The key without `-file`, such as `token`. */
  readonly key: string
}

/**
 * Returns the text of a secret, from the settings or from the file that they name. White space around a file's text
 * is removed. The error names the file and never contains its text.
 *
 * @param readFile reads a whole file; may throw file system errors.
 */
export function readSecret (source: SecretSource, location: SecretLocation, readFile: (path: string) => string): Result<string, SettingsError> {
  if (source.kind === SecretSourceKind.Text) return success(source.text)
  let text: string
  try {
    text = readFile(source.path).trim()
  } catch (error) {
    return createSecretFileError(source.path, location, (error as Error).message)
  }
  return SECRET_PATTERN.test(text) ? success(text) : createSecretFileError(source.path, location, 'the content is not a valid secret')
}

function createSecretFileError (path: string, { file, section, key }: SecretLocation, reason: string): Result<never, SettingsError> {
  const accepted = 'a readable file that holds 16 to 512 printable characters without spaces'
  return failed({ problems: [{ kind: SettingsProblemKind.InvalidValue, file, line: null, section, key: `${key}-file`, found: quoteFound(`${path}: ${reason}`), accepted }] })
}
