import { AUDIT_COMMANDS } from '../request/auditCommands.js'
import { BUDGET_COMMANDS } from '../request/budgetsCommand.js'
import { EVACUATION_COMMANDS } from '../request/evacuationsCommand.js'
import { FLEET_COMMANDS } from '../request/fleetCommands.js'
import { SETTINGS_COMMANDS } from '../request/settingsCommands.js'
import { TRACE_COMMANDS } from '../request/traceCommand.js'
import type { Command } from './Command.js'

/** Every command of `dotterelctl`. */
export const COMMANDS: readonly Command[] = [...SETTINGS_COMMANDS, ...FLEET_COMMANDS, ...AUDIT_COMMANDS, ...TRACE_COMMANDS, ...EVACUATION_COMMANDS, ...BUDGET_COMMANDS]
