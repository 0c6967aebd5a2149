import { Command } from '@oclif/core'
import { checkSettings, createLogger, createSettingFlags, formatSettingFaults } from '../shared/index.js'
import { EntryInstance } from './EntryInstance.js'
import { entrySettings } from './entrySettings.js'

/** The command `papayamoor-entry`, which serves callers until the process receives SIGTERM or SIGINT. */
export class EntryCommand extends Command {
  static override description = 'Serves callers over HTTP and forwards their requests to upstreams.'
  static override flags = createSettingFlags(entrySettings)

  async run (): Promise<void> {
    const { flags } = await this.parse(EntryCommand)
    const checked = checkSettings(entrySettings, flags as Record<string, string | undefined>, process.env)
    if (checked.kind === 'failed') this.error(formatSettingFaults(checked.failure), { exit: 2 })
    const logger = createLogger('entry', checked.value.instanceId)
    const instance = EntryInstance.create({ settings: checked.value, logger })
    await instance.start()
    await new Promise<void>(resolve => {
      process.once('SIGTERM', resolve)
      process.once('SIGINT', resolve)
    })
    await instance.stop()
    process.exit(0)
  }
}

/**
 * Runs the entry program until the process receives SIGTERM or SIGINT.
 * @param argumentsList The arguments of the command line.
 */
export async function run (argumentsList: string[]): Promise<void> {
  try {
    await EntryCommand.run(argumentsList, import.meta.url)
  } catch (error) {
    const { message, oclif } = error as Error & { oclif?: { exit?: number } }
    process.stderr.write(`${message}\n`)
    process.exit(oclif?.exit ?? 1)
  }
}
