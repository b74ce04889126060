import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

/** Names of the users' platform: they are translated in `platform/`, and nothing else knows them. */
const PLATFORM_NAMES = '/dotterelspur-(attempt-id|response-seal|expect-instance|not-executed|prompt-prefix|token-usage|worker-load|worker-id|weight-versions|request-priority|length-hint|tenant$)|at-server|\\/v1\\/resolve|fencing_token|close_mode|path_prefix|traffic_split|target_gap_ms|api_keys|store_revision/i'
const platformNameMessage = 'A name of the users\' platform: translate it in platform/.'

export default [
  ...neostandard({ ts: true, env: ['node', 'mocha'], ignores: resolveIgnoresFromGitignore() }),
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: ['child_process', 'node:child_process', 'cluster', 'node:cluster', 'worker_threads', 'node:worker_threads'] }]
    }
  },
  {
    // The soak starts the programs that it does harm to; the programs themselves start none.
    files: ['platform/src/__tests__/soak/SoakNode.ts'],
    rules: { 'no-restricted-imports': 'off' }
  },
  {
    files: ['packages/*/src/**/*.ts', 'scripts/**/*.mjs'],
    rules: {
      'no-restricted-syntax': ['error',
        { selector: `Literal[value=${PLATFORM_NAMES}]`, message: platformNameMessage },
        { selector: `TemplateElement[value.raw=${PLATFORM_NAMES}]`, message: platformNameMessage }]
    }
  },
  {
    files: ['packages/dotterelspur/src/**/*.ts'],
    ignores: ['**/__tests__/**'],
    rules: {
      'no-restricted-properties': ['error',
        { object: 'Math', property: 'random', message: 'The core takes its random source as an argument.' },
        { object: 'Date', property: 'now', message: 'The core takes its clock as an argument.' }],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'fetch'],
      'no-restricted-imports': ['error', { patterns: ['node:*'] }]
    }
  },
  {
    files: ['packages/dotterelspur-demo/src/**/*.ts', 'packages/dotterelspur-bench/src/**/*.ts'],
    rules: { 'no-restricted-imports': 'off' }
  },
  {
    files: ['**/__tests__/**/*.ts'],
    rules: { 'no-unused-expressions': 'off', '@typescript-eslint/no-unused-expressions': 'off' }
  }
]
