import { createInterface } from 'node:readline/promises'
import { Command, Errors, Flags } from '@oclif/core'
import type { ConfigurationHead } from '../configuration/Configuration.js'
import { readHead } from '../configuration/ConfigurationStore.js'
import { HttpInstanceList } from '../membership/HttpInstanceList.js'
import type { ListedInstance } from '../membership/InstanceList.js'
import type { TaskReport, WorkerReport } from '../scheduler/SchedulerApi.js'
import { SystemClock } from '../shared/Clock.js'
import type { Outcome } from '../shared/Outcome.js'
import { checkSettings, formatSettingFaults, type SettingValues } from '../shared/settings.js'
import { HttpTableService } from '../table/HttpTableService.js'
import type { TableService } from '../table/TableService.js'
import {
  callSchedulers, isNewerReport, listSchedulers, mergeLists, type SchedulerEndpoint, type SchedulerResponse
} from './listSchedulers.js'
import {
  describeReadFailure, describeUnavailable, EXIT_CODES, OperatorError, type OperatorFailure
} from './OperatorFailure.js'
import { operatorFlags, operatorSettings } from './operatorSettings.js'

type SettingName = keyof typeof operatorSettings
type ClosableTableService = TableService & { close?: () => Promise<void> }
type ParsedFlags = Record<string, unknown>

/** The flag of every change; a reason of only spaces tells nobody anything. */
export const reasonFlag = Flags.string({
  description: 'why you do this, for the audit record',
  required: true,
  parse: async text => {
    if (text.trim() === '') throw new Errors.CLIError('--reason must say why')
    return text.trim()
  }
})

/** The flag of every command that asks before it acts. */
export const yesFlag = Flags.boolean({ description: 'do not ask for confirmation', default: false })

/** The flag of every change of the configuration. */
export const retryFlag = Flags.boolean({
  description: 'after a lost race, apply the change to the newer version when what it changes is untouched',
  default: false
})

/** What all commands of operators share: settings, confirmation, and the reporting of failures. */
export abstract class OperatorCommand extends Command {
  static override enableJsonFlag = true
  static override baseFlags = operatorFlags

  /** Asks a question on the terminal; tests replace it. */
  static promptOperator: ((question: string) => Promise<string>) | null = process.stdin.isTTY ? promptOnTerminal : null

  /** Creates the client of the table service; tests replace it. */
  static createTableService = (url: string): ClosableTableService => HttpTableService.create({ url })

  protected readonly clock = SystemClock.create()
  private tableService: ClosableTableService | null = null

  /**
   * Checks the settings that a command needs.
   * @param flags The parsed flags.
   * @param names The needed settings.
   * @returns The checked values; ends the command when one is missing or not accepted.
   */
  protected requireSettings<Name extends SettingName> (
    flags: ParsedFlags,
    names: readonly Name[]
  ): SettingValues<Pick<typeof operatorSettings, Name>> {
    const definitions = Object.fromEntries(names.map(name => [name, operatorSettings[name]])) as
      Pick<typeof operatorSettings, Name>
    const checked = checkSettings(definitions, flags as Record<string, string | undefined>, process.env)
    if (checked.kind === 'ok') return checked.value
    return this.fail({
      code: 'usage', message: formatSettingFaults(checked.failure), next: 'give the flags or set the environment variables'
    })
  }

  /** Returns a setting that a command can do without, undefined when it is not given. */
  protected getOptionalSetting (flags: ParsedFlags, name: SettingName): string | undefined {
    const { name: flag } = operatorSettings[name]
    const isGiven = flags[flag] !== undefined ||
      process.env[`PAPAYAMOOR_${flag.toUpperCase().replaceAll('-', '_')}`] !== undefined
    return isGiven ? this.requireSettings(flags, [name])[name] as string : undefined
  }

  /** Returns the client of the table service, which is closed when the command ends. */
  protected openTableService (flags: ParsedFlags): TableService {
    const { tableServiceUrl } = this.requireSettings(flags, ['tableServiceUrl'])
    this.tableService ??= OperatorCommand.createTableService(tableServiceUrl)
    return this.tableService
  }

  /** Reads the instance list; null when its address is not set or it does not answer, as no change depends on it. */
  protected async readInstances (flags: ParsedFlags): Promise<ListedInstance[] | null> {
    const url = this.getOptionalSetting(flags, 'instanceListUrl')
    if (url === undefined) return null
    const read = await HttpInstanceList.create({ url }).readInstances()
    if (read.kind === 'ok') return read.instances
    this.warn(`the instance list cannot be reached (${read.reason}); the command goes on without it`)
    return null
  }

  /**
   * Asks for confirmation, unless `--yes` was given.
   * @param question What is about to happen.
   * @param yes Whether `--yes` was given.
   */
  protected async requireConfirmation (question: string, yes: boolean): Promise<void> {
    if (yes) return
    const { promptOperator } = OperatorCommand
    if (promptOperator === null || this.jsonEnabled()) {
      return this.fail({
        code: 'notConfirmed', message: `${question} This needs a confirmation.`, next: 'run the command on a terminal, or add --yes'
      })
    }
    const answer = await promptOperator(`${question} Go on? [y/N] `)
    if (!/^y(es)?$/i.test(answer.trim())) {
      this.fail({ code: 'notConfirmed', message: 'not confirmed; nothing was changed', next: 'run it again to confirm' })
    }
  }

  /** Returns the schedulers that can be asked; ends the command when none is configured. */
  protected async requireSchedulers (flags: ParsedFlags): Promise<SchedulerEndpoint[]> {
    const schedulers = listSchedulers(await this.readInstances(flags), this.getOptionalSetting(flags, 'schedulerUrl'))
    if (schedulers.length > 0) return schedulers
    return this.fail({
      code: 'usage',
      message: 'no scheduler is known',
      next: 'give --scheduler-url or --instance-list-url, or set PAPAYAMOOR_SCHEDULER_URL or PAPAYAMOOR_INSTANCE_LIST_URL'
    })
  }

  /** Returns the answers; warns of schedulers that gave none, and ends the command when no scheduler answered. */
  protected requireResponses<Value> (responses: Array<SchedulerResponse<Value>>): Array<SchedulerResponse<Value>> {
    const unresponsive = responses.flatMap(({ instanceId, outcome }) =>
      outcome.kind === 'failed' ? [`${instanceId}: ${outcome.failure.reason}`] : [])
    if (unresponsive.length === responses.length) this.fail(describeUnavailable('every scheduler', unresponsive.join(', ')))
    if (unresponsive.length > 0) this.warn(`no answer from ${unresponsive.join(', ')}; the list may be incomplete`)
    return responses
  }

  /** Lists the workers that the schedulers know. */
  protected async listWorkers (flags: ParsedFlags): Promise<WorkerReport[]> {
    const schedulers = await this.requireSchedulers(flags)
    const responses = this.requireResponses(await callSchedulers(schedulers, async client => await client.listWorkers()))
    return mergeLists(responses, worker => worker.workerId, (left, right) => left.reachable && !right.reachable)
  }

  /** Asks the schedulers in turn for a task; ends the command when none knows it. */
  protected async requireTask (flags: ParsedFlags, taskId: string): Promise<TaskReport> {
    const schedulers = await this.requireSchedulers(flags)
    const responses = this.requireResponses(await callSchedulers(schedulers, async client => await client.getTask(taskId)))
    const tasks = responses.flatMap(({ outcome }) => outcome.kind === 'ok' && outcome.value !== null ? [outcome.value] : [])
    const newest = tasks.sort((left, right) => isNewerReport(left, right) ? -1 : 1)[0]
    if (newest !== undefined) return newest
    return this.fail({
      code: 'refused', message: `there is no task ${taskId}`, next: 'list tasks with "papayamoor task list"'
    })
  }

  /** Reads the head of the configuration. */
  protected async readHead (tableService: TableService): Promise<ConfigurationHead> {
    const head = await readHead(tableService)
    return head.kind === 'ok' ? head.value.head : this.fail(describeReadFailure(head.failure))
  }

  /** Returns the value, or ends the command with the failure. */
  protected unwrap<Value> (outcome: Outcome<Value, OperatorFailure>): Value {
    return outcome.kind === 'ok' ? outcome.value : this.fail(outcome.failure)
  }

  /** Ends the command with a failure. */
  protected fail (failure: OperatorFailure): never {
    throw new OperatorError(failure)
  }

  protected override async catch (error: Error): Promise<void> {
    const failure = toFailure(error, this.id)
    if (failure === null) return await super.catch(error)
    const { message, next, ...rest } = failure
    process.exitCode = EXIT_CODES[failure.code]
    if (this.jsonEnabled()) this.logJson({ error: { ...rest, exitCode: EXIT_CODES[failure.code], message, next } })
    else this.logToStderr(`Error: ${message}\nNext: ${next}`)
  }

  protected override async finally (error: Error | undefined): Promise<void> {
    await this.tableService?.close?.()
    await super.finally(error)
  }
}

/** Errors of oclif's parser are faults of the command line; all others are faults of the command. */
function toFailure (error: Error, id: string | undefined): OperatorFailure | null {
  if (error instanceof OperatorError) return error.failure
  if (!(error instanceof Errors.CLIError) || error instanceof Errors.ExitError) return null
  const [message] = error.message.split('\nSee more help')
  return { code: 'usage', message, next: `see "papayamoor ${id?.replaceAll(':', ' ')} --help"` }
}

async function promptOnTerminal (question: string): Promise<string> {
  // The question goes to standard error, so that standard output holds only the result.
  const terminal = createInterface({ input: process.stdin, output: process.stderr })
  try {
    return await terminal.question(question)
  } finally {
    terminal.close()
  }
}
