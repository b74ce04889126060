import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, env: ['node', 'mocha'], ignores: resolveIgnoresFromGitignore() }),
  {
    files: ['packages/*/src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: ['child_process', 'node:child_process', 'cluster', 'node:cluster', 'worker_threads', 'node:worker_threads'] }]
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
