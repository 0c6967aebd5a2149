import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**', '**/__snapshots__/**'] }),
  {
    rules: {
      '@stylistic/max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    files: ['**/*.test.ts'],
    rules: { 'max-lines': 'off' }
  }
]
