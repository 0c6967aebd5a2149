import { createTRPCUntypedClient, httpLink } from '@trpc/client'
import { initTRPC, type AnyRouter } from '@trpc/server'
import { createHTTPServer } from '@trpc/server/adapters/standalone'
import { VersionedConfiguration, type Configuration, type ConfigurationPeer } from '../../../src/configuration/index.js'
import { silentLogger, SystemClock } from '../../../src/shared/index.js'
import { HttpTableService } from '../../../src/table/index.js'

/** A reader of the configuration in a separate process; it reports each version that it installs to its parent. */
const { TABLE_URL, READER_PORT, PEER_PORTS = '' } = process.env
const clock = SystemClock.create()
const tableService = HttpTableService.create({ url: TABLE_URL! })

/** An exchange with a peer that does not respond times out before the next round of exchanges. */
const PEER_TIMEOUT_MILLISECONDS = 1000

const peers = PEER_PORTS.split(',').filter(port => port !== '').map(createPeer)
const reader = VersionedConfiguration.create({ tableService, clock, logger: silentLogger, peers: () => peers })
/** A configuration that reads the store alone, without exchanging versions with peers, for comparison. */
const lonely = VersionedConfiguration.create({ tableService, clock, logger: silentLogger, peers: () => [] })
for (const [name, source] of Object.entries({ reader, lonely })) {
  source.subscribe(({ version }) => process.send?.({ name, version, at: Date.now() }))
}

const trpc = initTRPC.create()
const router = trpc.router({
  exchangeConfiguration: trpc.procedure.input((value: unknown) => value as { version: number })
    .query(({ input }) => reader.answerExchange(input))
})
createHTTPServer({ router, basePath: '/trpc/' }).listen(Number(READER_PORT), '127.0.0.1', () => {
  reader.start()
  process.send?.({ name: 'ready' })
})
process.on('message', command => {
  if (command === 'start-lonely') lonely.start()
  if (command === 'stop-lonely') lonely.stop()
})
process.once('disconnect', () => process.exit(0))

function createPeer (port: string): ConfigurationPeer {
  const client = createTRPCUntypedClient<AnyRouter>({ links: [httpLink({ url: `http://127.0.0.1:${port}/trpc` })] })
  return {
    exchangeConfiguration: async own => {
      const signal = AbortSignal.timeout(PEER_TIMEOUT_MILLISECONDS)
      return await client.query('exchangeConfiguration', own, { signal }) as Configuration | null
    }
  }
}
