import { Flags } from '@oclif/core'
import { z } from 'zod'
import { failed, ok, type Outcome } from './Outcome.js'

/** One setting of a program; the flag is `--name`, the environment variable `PAPAYAMOOR_NAME`. */
export interface SettingDefinition<Schema extends z.ZodType = z.ZodType> {
  /** The name in kebab case, for example `listen-port`. */
  name: string
  description: string
  /** Checks and converts the text; a default makes the setting optional. */
  schema: Schema
  /** A value that is accepted, shown when the given one is not. */
  example: string
  /** A secret is never printed. */
  secret?: boolean
}

/** One setting that is missing or not accepted. */
export interface SettingFault {
  setting: string
  environmentVariable: string
  problem: string
  example: string
}

/** The checked values, by the name of the setting. */
export type SettingValues<Definitions extends Record<string, SettingDefinition>> = {
  [Name in keyof Definitions]: z.infer<Definitions[Name]['schema']>
}

/**
 * Returns the environment variable of a setting.
 * @param name The name of the setting in kebab case.
 * @returns The name of the variable.
 */
export function getEnvironmentVariable (name: string): string {
  return `PAPAYAMOOR_${name.toUpperCase().replaceAll('-', '_')}`
}

/**
 * Checks all settings together.
 * @param definitions The settings of the program.
 * @param flags The values of the flags that were given, by setting name in kebab case.
 * @param environment The environment variables.
 * @returns The checked values, or every fault at once.
 */
export function checkSettings<Definitions extends Record<string, SettingDefinition>> (
  definitions: Definitions,
  flags: Record<string, string | undefined>,
  environment: Record<string, string | undefined>
): Outcome<SettingValues<Definitions>, SettingFault[]> {
  const values: Record<string, unknown> = {}
  const faults: SettingFault[] = []
  for (const [property, definition] of Object.entries(definitions)) {
    const environmentVariable = getEnvironmentVariable(definition.name)
    const text = flags[definition.name] ?? environment[environmentVariable]
    const parsed = definition.schema.safeParse(text)
    if (parsed.success) {
      values[property] = parsed.data
    } else {
      faults.push({
        setting: `--${definition.name}`,
        environmentVariable,
        problem: describeProblem(definition, text, parsed.error),
        example: definition.example
      })
    }
  }
  return faults.length === 0 ? ok(values as SettingValues<Definitions>) : failed(faults)
}

/**
 * Formats faults as one message that names each fault, its setting and an accepted example.
 * @param faults The faults.
 * @returns The message.
 */
export function formatSettingFaults (faults: SettingFault[]): string {
  const lines = faults.map(fault =>
    `  ${fault.setting} (${fault.environmentVariable}): ${fault.problem}; for example ${fault.example}`)
  return ['The settings are not valid:', ...lines].join('\n')
}

/**
 * Creates the oclif flags of the settings; all are strings, as `checkSettings` does the checking.
 * @param definitions The settings of the program.
 * @returns The flags by name.
 */
export function createSettingFlags (definitions: Record<string, SettingDefinition>) {
  return Object.fromEntries(Object.values(definitions).map(definition => [
    definition.name,
    Flags.string({ description: `${definition.description} [${getEnvironmentVariable(definition.name)}]` })
  ]))
}

function describeProblem (definition: SettingDefinition, text: string | undefined, error: z.ZodError): string {
  if (text === undefined) return 'missing'
  const reasons = error.issues.map(issue => issue.message).join(', ')
  return definition.secret === true ? `not accepted: ${reasons}` : `"${text}" is not accepted: ${reasons}`
}

/** Text of a whole number, such as a port or a duration in milliseconds. */
export const wholeNumber = z.string().regex(/^\d+$/, 'expected a whole number').transform(Number)

/** Text of an address such as `http://127.0.0.1:7000`. */
export const httpUrl = z.string().regex(/^https?:\/\/[^\s/]+$/, 'expected http://HOST:PORT')

/** The settings that the entry and scheduler programs share. */
export const commonSettings = {
  instanceId: {
    name: 'instance-id',
    description: 'identifier of this instance, unique among all',
    schema: z.string().min(1),
    example: 'entry-1'
  },
  dataCentre: {
    name: 'data-centre', description: 'data centre of this instance', schema: z.string().min(1), example: 'south-a'
  },
  region: { name: 'region', description: 'region of this instance', schema: z.string().min(1), example: 'south' },
  listenHost: {
    name: 'listen-host',
    description: 'IP address to listen on',
    schema: z.string().default('127.0.0.1'),
    example: '127.0.0.1'
  },
  listenPort: { name: 'listen-port', description: 'TCP port to listen on', schema: wholeNumber, example: '8100' },
  tableServiceUrl: {
    name: 'table-service-url',
    description: 'table service and object store of the platform',
    schema: httpUrl,
    example: 'http://127.0.0.1:7000'
  },
  instanceListUrl: {
    name: 'instance-list-url',
    description: 'instance list of the platform',
    schema: httpUrl,
    example: 'http://127.0.0.1:7100'
  }
} satisfies Record<string, SettingDefinition>
