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
  description: 'The team that these settings belong to, and the tokens that authenticate its callers and operators.',
  schema: z.object({
    name: identifier().describe('The name of the team; must be the name under which the settings are applied.'),
    priority: integer(0, 100).default(50).describe('When two teams compete for VMs, the one with the higher priority takes precedence. Only the fleet\'s operators may raise it.'),
    callerTokenSha256: tokenHashList().describe('SHA-256 of each token that the team\'s callers present. A token may be listed by one team only.'),
    operatorTokenSha256: tokenHashList().default([]).describe('SHA-256 of each token that lets its holder read and change what belongs to this team, and nothing else.')
  }),
  relations: [{
    key: 'operator-token-sha256',
    rule: 'tokens that are not also callers\' tokens',
    holds: (team) => !team.operatorTokenSha256.some((hash) => team.callerTokenSha256.includes(hash))
  }]
})

export const weightsSection = defineSection({
  keyword: 'weights',
  arguments: [],
  required: false,
  description: 'What an hour of each costs the team. Only the ratio matters: it decides between repairing immediately and waiting.',
  schema: z.object({
    groupDowntime: decimal(0, 1_000).default(1).describe('Cost of one group that does not serve for an hour.'),
    strandedAccelerators: decimal(0, 1_000).default(1).describe('Cost of one accelerator that is powered but in no complete group for an hour.')
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
  description: 'Limits on the team\'s requests over all nodes; each live node allows an equal share.',
  schema: z.object({
    requestsPerSecond: integer(1, 1_000_000).default(500).describe('Requests admitted per second.'),
    tokensPerSecond: integer(1, 100_000_000).default(200_000).describe('Tokens admitted per second: each request counts its estimated prompt tokens and its `max_tokens`.'),
    concurrentRequests: integer(1, 100_000).default(512).describe('Maximum number of requests that run at the same time.'),
    queuedRequests: integer(0, 100_000).default(256).describe('Maximum number of queued requests; further ones are rejected immediately with the time after which to retry.'),
    retryPercent: integer(0, 100).default(10).describe('Retries allowed per 100 first attempts.')
  }),
  relations: []
})

export const modelSection = defineSection({
  keyword: 'model',
  arguments: [modelArgument],
  required: false,
  description: 'One model to serve for the team.',
  schema: z.object({
    version: modelName().describe('The version to serve. Changing it starts a rollout in steps.'),
    adapters: modelNameList().default([]).describe('Adapters to load with the model.'),
    replicas: integer(0, 10_000).describe('Desired number of groups; 0 takes the model out of service.'),
    vmsPerReplica: integer(1, 64).describe('Number of VMs that together form one replica.'),
    standbysPerFabricDomain: integer(0, 16).default(0).describe('Number of VMs kept ready to replace a lost member, in each fabric domain that has a group of this model.'),
    regions: identifierList().default([]).describe('Where groups may be; empty for anywhere.'),
    failureDomains: identifierList().default([]).describe('Where groups may be; empty for anywhere.'),
    fabricDomains: identifierList().default([]).describe('Where groups may be; empty for anywhere.'),
    defaultPriority: enumValue(Object.values(PriorityClass)).default(PriorityClass.Standard).describe('Priority of requests that name none.'),
    maxTokens: integer(1, 1_000_000).default(4_096).describe('Maximum number of tokens that one request may ask for.'),
    maxUnavailable: integer(1, 10_000).default(1).describe('Rollout: maximum number of groups that may be out of service for the change at the same time.'),
    healthyForMs: durationMs(0, 3_600_000).default(30_000).describe('Rollout: how long a new group must stay healthy before the next step.'),
    maxErrorPercent: decimal(0, 100).default(5).describe('Rollout: it halts when a higher percentage of the new version\'s requests fails.')
  }),
  relations: []
})

export const serviceSection = defineSection({
  keyword: 'service',
  arguments: [serviceArgument],
  required: false,
  description: 'One plain service that the team calls through the system.',
  schema: z.object({
    timeoutMs: durationMs(10, 600_000).default(10_000).describe('A call without a response within this time has failed, or its outcome is unknown.')
  }),
  relations: []
})

export const routeSection = defineSection({
  keyword: 'route',
  arguments: [serviceArgument, routeArgument],
  required: false,
  description: 'Whether calls under one path prefix of a service may be retried. The longest matching prefix applies; calls that match no route run at most once.',
  schema: z.object({
    pathPrefix: urlPath().default('/').describe('Path prefix below the service\'s root.'),
    methods: methodList().default([]).describe('Empty for all methods.'),
    retry: enumValue(Object.values(RetryRule)).describe('`idempotent`: a failed call may be sent again elsewhere. `once`: each call runs at most once.')
  }),
  relations: []
})

/** The sections of a team's settings, in the order of the reference page. */
export const TEAM_SECTIONS = [teamSection, weightsSection, teamLimitsSection, modelSection, serviceSection, routeSection] as unknown as readonly SectionSpec[]
