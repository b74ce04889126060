// Generates docs/SETTINGS.md from the schemas of the settings. Run after a build.
import { writeFileSync } from 'node:fs'
import { renderReferencePage } from 'dotterelspur-settings'

writeFileSync(new URL('../docs/SETTINGS.md', import.meta.url), renderReferencePage())
