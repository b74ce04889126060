import { failed, success, type ModelIntent, type Result, type ServiceIntent, type ServiceRoute, type TeamSettings } from 'dotterelspur'
import { checkSections, type CheckedSections } from '../process/SectionSpec.js'
import { SettingsProblemKind, createSettingsError, type SettingsError, type SettingsProblem } from '../process/SettingsError.js'
import { readSettingsText } from '../process/SettingsText.js'
import { TEAM_SECTIONS, modelSection, routeSection, serviceSection, teamLimitsSection, teamSection, weightsSection } from './TeamSchema.js'

/**
 * Parses a team's settings. All problems are reported at once, and a file with any problem is rejected.
 *
 * @param content the INI text, or its bytes.
 * @param file the file name for errors.
 */
export function parseTeamSettings (content: string | Uint8Array, file: string): Result<TeamSettings, SettingsError> {
  const text = readSettingsText(content, file)
  if (!text.ok) return text
  const { sections, problems } = checkSections(file, TEAM_SECTIONS, text.value)
  const all = [...problems, ...routeProblems(file, sections)]
  if (all.length > 0) return failed(createSettingsError(all))
  const team = sections.single(teamSection)
  return success({
    team: team.name,
    priority: team.priority,
    weights: sections.single(weightsSection),
    limits: sections.single(teamLimitsSection),
    callerTokenHashes: team.callerTokenSha256,
    operatorTokenHashes: team.operatorTokenSha256,
    models: readModels(sections),
    services: readServices(sections)
  })
}

function readModels (sections: CheckedSections): readonly ModelIntent[] {
  return sections.all(modelSection).map(({ arguments: [model], value }) => {
    const { maxUnavailable, healthyForMs, maxErrorPercent, ...rest } = value
    return { model: model!, ...rest, rollout: { maxUnavailable, healthyForMs, maxErrorPercent } }
  })
}

function readServices (sections: CheckedSections): readonly ServiceIntent[] {
  const routes = sections.all(routeSection)
  return sections.all(serviceSection).map(({ arguments: [service], value }) => ({
    service: service!,
    timeoutMs: value.timeoutMs,
    routes: routes.filter((route) => route.arguments[0] === service).map((route): ServiceRoute => route.value)
  }))
}

/** Reports routes of services that the file does not define: such a route would never match, and its retry rule would be silently ignored. */
function routeProblems (file: string, sections: CheckedSections): SettingsProblem[] {
  const services = sections.all(serviceSection).map((section) => section.arguments[0]!)
  const accepted = services.length === 0 ? 'routes only beside a section [service <service>]' : `a route of ${services.join(', ')}`
  return sections.all(routeSection)
    .filter((route) => !services.includes(route.arguments[0]!))
    .map((route) => ({ kind: SettingsProblemKind.InvalidRelation, file, line: route.line, section: `route ${route.arguments.join(' ')}`, key: null, found: route.arguments[0]!, accepted }))
}
