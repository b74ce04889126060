import { z } from 'zod'
import { PriorityClass, RetryRule } from 'dotterelspur'
import { defineSection, type SectionSpec } from '../process/SectionSpec.js'
import {
  ID_ACCEPTS, NAME_ACCEPTS, enumValue, decimal, durationMs, identifier, identifierList, integer, methodList, modelName,
  modelNameList, readIdentifier, readModelName, tokenHashList, urlPath
} from '../process/values.js'

const modelArgument = { name: 'model', accepts: NAME_ACCEPTS, read: readModelName }
const serviceArgument = { name: 'service', accepts: ID_ACCEPTS, read: readIdentifier }
const routeArgument = { name: 'route', accepts: ID_ACCEPTS, read: readIdentifier }

export const teamSection = defineSection({
  keyword: 'team',
  arguments: [],
  required: true,
  description: 'Whose settings these are, and which tokens speak for the team.',
  schema: z.object({
    name: identifier().describe('The team; the same as the name under which the settings are applied.'),
    priority: integer(0, 100).default(50).describe('When two teams compete for VMs, the higher goes first. Only the fleet\'s operators may raise it.'),
    callerTokenSha256: tokenHashList().describe('SHA-256 of each token that the team\'s callers present. A token may be listed by one team only.'),
    operatorTokenSha256: tokenHashList().default([]).describe('SHA-256 of each token that lets its holder see and change this team\'s part of the system and no other.')
  }),
  relations: [{
    key: 'operator-token-sha256',
    rule: 'tokens that are not callers\' tokens as well',
    holds: (team) => !team.operatorTokenSha256.some((hash) => team.callerTokenSha256.includes(hash))
  }]
})

export const weightsSection = defineSection({
  keyword: 'weights',
  arguments: [],
  required: false,
  description: 'What an hour of each costs the team. Only the ratio matters: it decides between repairing at once and waiting.',
  schema: z.object({
    groupDowntime: decimal(0, 1_000).default(1).describe('Cost of one group not serving for an hour.'),
    strandedAccelerators: decimal(0, 1_000).default(1).describe('Cost of one accelerator, powered but in no complete group, for an hour.')
  }),
  relations: [{
    key: 'group-downtime',
    rule: 'at least one of the two weights above 0',
    holds: (weights) => weights.groupDowntime + weights.strandedAccelerators > 0
  }]
})

export const teamLimitsSection = defineSection({
  keyword: 'limits',
  arguments: [],
  required: false,
  description: 'Bounds on the team\'s requests over all nodes; each living node allows an even part.',
  schema: z.object({
    requestsPerSecond: integer(1, 1_000_000).default(500).describe('Requests admitted a second.'),
    tokensPerSecond: integer(1, 100_000_000).default(200_000).describe('Tokens admitted a second: each request counts its prompt, as estimated, and its `max_tokens`.'),
    concurrentRequests: integer(1, 100_000).default(512).describe('Requests that run at once.'),
    queuedRequests: integer(0, 100_000).default(256).describe('Requests that wait; more are refused at once with the time to come back.'),
    retryPercent: integer(0, 100).default(10).describe('Retries allowed for each 100 first attempts.')
  }),
  relations: []
})

export const modelSection = defineSection({
  keyword: 'model',
  arguments: [modelArgument],
  required: false,
  description: 'One model that the team wants served.',
  schema: z.object({
    version: modelName().describe('The version to serve. Changing it starts a rollout in steps.'),
    adapters: modelNameList().default([]).describe('Adapters loaded beside the model.'),
    replicas: integer(0, 10_000).describe('Number of groups wanted; 0 takes the model out of service.'),
    vmsPerReplica: integer(1, 64).describe('VMs that together hold one replica.'),
    standbysPerFabricDomain: integer(0, 16).default(0).describe('VMs kept ready in each fabric domain that holds a group of this model, to step in for a lost member.'),
    regions: identifierList().default([]).describe('Where groups may be; empty for anywhere.'),
    failureDomains: identifierList().default([]).describe('Where groups may be; empty for anywhere.'),
    fabricDomains: identifierList().default([]).describe('Where groups may be; empty for anywhere.'),
    defaultPriority: enumValue(Object.values(PriorityClass)).default(PriorityClass.Standard).describe('Priority of requests that name none.'),
    maxTokens: integer(1, 1_000_000).default(4_096).describe('The most tokens that one request may ask for.'),
    maxUnavailable: integer(1, 10_000).default(1).describe('Rollout: groups that may be out for the change at once.'),
    healthyForMs: durationMs(0, 3_600_000).default(30_000).describe('Rollout: how long a new group must stay healthy before the next step.'),
    maxErrorPercent: decimal(0, 100).default(5).describe('Rollout: it halts when more of the new version\'s requests fail.')
  }),
  relations: []
})

export const serviceSection = defineSection({
  keyword: 'service',
  arguments: [serviceArgument],
  required: false,
  description: 'One plain service that the team calls through the system.',
  schema: z.object({
    timeoutMs: durationMs(10, 600_000).default(10_000).describe('A call without an answer by then has failed, or its outcome is unknown.')
  }),
  relations: []
})

export const routeSection = defineSection({
  keyword: 'route',
  arguments: [serviceArgument, routeArgument],
  required: false,
  description: 'How calls below one path of a service may be repeated. The longest path that fits decides; calls that fit no route run at most once.',
  schema: z.object({
    pathPrefix: urlPath().default('/').describe('Path below the service\'s root.'),
    methods: methodList().default([]).describe('Empty for all methods.'),
    retry: enumValue(Object.values(RetryRule)).describe('`idempotent`: a failed call may be sent again elsewhere. `once`: each call runs at most once.')
  }),
  relations: []
})

/** The sections of a team's settings, in the order of the reference page. */
export const TEAM_SECTIONS = [teamSection, weightsSection, teamLimitsSection, modelSection, serviceSection, routeSection] as unknown as readonly SectionSpec[]
