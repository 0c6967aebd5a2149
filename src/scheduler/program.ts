import { fileURLToPath } from 'node:url'
import { Command } from '@oclif/core'
import { VersionedConfiguration } from '../configuration/VersionedConfiguration.js'
import { HttpInstanceList } from '../membership/HttpInstanceList.js'
import { ColocationPlacementEngine } from '../placement/ColocationPlacementEngine.js'
import { SystemClock } from '../shared/Clock.js'
import { createLogger } from '../shared/Logger.js'
import { checkSettings, createSettingFlags, formatSettingFaults } from '../shared/settings.js'
import { HttpTableService } from '../table/HttpTableService.js'
import { HttpWorkerClient } from '../workers/HttpWorkerClient.js'
import { createSchedulerApplication } from './createSchedulerApplication.js'
import { createSchedulerMetrics } from './SchedulerMetrics.js'
import { createSchedulerPeer, type SchedulerPeer } from './SchedulerPeer.js'
import { createSchedulerRouter } from './schedulerRouter.js'
import { Scheduler } from './Scheduler.js'
import { schedulerSettings } from './settings.js'

/** A stop that takes longer is cut off; successors then wait for the lease to end. */
const STOP_TIMEOUT_MILLISECONDS = 8000

/** Runs a scheduler until it is told to stop. */
class SchedulerCommand extends Command {
  static override description = 'Accepts jobs, owns shards of workers, and places, starts and recovers their tasks.'
  static override flags = createSettingFlags(schedulerSettings)

  async run (): Promise<void> {
    const { flags } = await this.parse(SchedulerCommand)
    const checked = checkSettings(schedulerSettings, flags, process.env)
    if (checked.kind === 'failed') this.error(formatSettingFaults(checked.failure), { exit: 2 })
    const settings = checked.value
    const { instanceId, dataCentre, region, listenHost, listenPort } = settings
    const address = settings.advertisedAddress ?? `${listenHost}:${listenPort}`
    const clock = SystemClock.create()
    const logger = createLogger('scheduler', instanceId)
    const store = HttpTableService.create({
      url: settings.tableServiceUrl, timeoutMilliseconds: settings.storeTimeoutMilliseconds
    })
    const workerClient = HttpWorkerClient.create({ timeoutMilliseconds: settings.workerTimeoutMilliseconds })
    const peers = new Map<string, SchedulerPeer>()
    const getPeer = (peerAddress: string) => {
      const peer = peers.get(peerAddress) ?? createSchedulerPeer(peerAddress)
      peers.set(peerAddress, peer)
      return peer
    }
    const configuration = VersionedConfiguration.create({
      tableService: store,
      clock,
      logger,
      peers: () => scheduler.shards.getInstances()
        .filter(instance => instance.role === 'scheduler' && instance.instanceId !== instanceId)
        .map(instance => getPeer(instance.address))
    })
    const scheduler: Scheduler = Scheduler.create({
      instanceId,
      address,
      dataCentre,
      region,
      tableService: store,
      objectStore: store,
      workerClient,
      instanceList: HttpInstanceList.create({ url: settings.instanceListUrl }),
      configuration,
      createEngine: () => ColocationPlacementEngine.create(),
      getPeer,
      clock,
      logger
    })
    const router = createSchedulerRouter({
      service: scheduler.service,
      getConfiguration: () => configuration.getConfiguration(),
      answerExchange: own => configuration.answerExchange(own)
    })
    const application = createSchedulerApplication({
      service: scheduler.service,
      router,
      registry: createSchedulerMetrics(scheduler.shards),
      isReady: () => scheduler.isReady()
    })
    application.listen(listenPort, listenHost, () => logger.info('listening', { address }))
    scheduler.start()
    const stop = async () => {
      logger.info('stopping')
      setTimeout(() => process.exit(1), STOP_TIMEOUT_MILLISECONDS).unref()
      await scheduler.stop()
      await new Promise(resolve => { application.server.close(resolve) })
      await Promise.all([store.close(), workerClient.close()])
      logger.info('stopped')
      process.exit(0)
    }
    process.once('SIGTERM', stop)
    process.once('SIGINT', stop)
  }
}

/**
 * Runs the scheduler program.
 * @param argumentsList The arguments of the command line.
 */
export async function run (argumentsList: string[]): Promise<void> {
  try {
    // A manifest of its own spares this program the loading of the operators' commands.
    const pjson = { name: 'papayamoor-scheduler', version: '0.1.0', oclif: { bin: 'papayamoor-scheduler' } }
    await SchedulerCommand.run(argumentsList, { root: fileURLToPath(new URL('.', import.meta.url)), pjson })
  } catch (error) {
    const failure = error as Error & { oclif?: { exit?: number } }
    process.stderr.write(`${failure.message}\n`)
    process.exit(failure.oclif?.exit ?? 1)
  }
}
