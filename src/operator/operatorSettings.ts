import type { Interfaces } from '@oclif/core'
import { z } from 'zod'
import { createSettingFlags, httpUrl, type SettingDefinition } from '../shared/settings.js'

/** The settings of the command; an address may carry a password, so the given text is never printed. */
export const operatorSettings = {
  tableServiceUrl: {
    name: 'table-service-url',
    description: 'table service of the platform',
    schema: httpUrl,
    example: 'http://127.0.0.1:7000',
    secret: true
  },
  schedulerUrl: {
    name: 'scheduler-url',
    description: 'any scheduler',
    schema: httpUrl,
    example: 'http://127.0.0.1:8200',
    secret: true
  },
  instanceListUrl: {
    name: 'instance-list-url',
    description: 'instance list of the platform',
    schema: httpUrl,
    example: 'http://127.0.0.1:7100',
    secret: true
  },
  operator: {
    name: 'operator',
    description: 'your name, for the audit records',
    schema: z.string().trim().min(1, 'expected a name'),
    example: 'hanh'
  }
} satisfies Record<string, SettingDefinition>

/** The settings as oclif flags, in a help group of their own. */
export const operatorFlags: Interfaces.FlagInput = Object.fromEntries(
  Object.entries(createSettingFlags(operatorSettings)).map(([name, flag]) => [name, { ...flag, helpGroup: 'SETTINGS' }])
)
