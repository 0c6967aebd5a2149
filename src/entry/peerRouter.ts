import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import type { Configuration } from '../configuration/index.js'
import type { MembershipReport } from '../membership/index.js'
import type { SlotGrant, SlotRequest } from '../routing/index.js'
import type { RequestRecord } from './RequestRecords.js'

/** What an entry instance does for its peers. */
export interface PeerRouterOptions {
  /** Returns the configuration in force when it is newer than the peer's, else null. */
  getNewerConfiguration (version: number): Configuration | null
  /** Takes over a peer's reports and returns own ones. */
  exchangeReports (reports: MembershipReport[]): MembershipReport[]
  getRequestRecord (requestId: string): RequestRecord | null
  lendSlot (request: SlotRequest): Promise<SlotGrant | null>
  takeSlotBack (leaseId: string): void
}

const reportSchema = z.object({
  instanceId: z.string(),
  state: z.enum(['leaving', 'unreachable']),
  ageMilliseconds: z.number()
})

const slotRequestSchema = z.object({
  service: z.string(),
  caller: z.string(),
  workClass: z.enum(['urgent', 'may-wait']),
  mayRepeat: z.boolean(),
  holdMilliseconds: z.number().positive(),
  waitMilliseconds: z.number().min(0).max(500),
  avoided: z.array(z.string()),
  dataCentre: z.string()
})

/** A list of instances in trouble is short; a longer one is a fault of the peer. */
const MAXIMUM_REPORTS = 1000

/**
 * Creates the procedures that an entry instance offers its peers at `/trpc`.
 * @param services What the procedures do.
 * @returns The trpc router.
 */
export function createPeerRouter (services: PeerRouterOptions) {
  const trpc = initTRPC.create()
  return trpc.router({
    exchangeConfiguration: trpc.procedure
      .input(z.object({ version: z.number() }))
      .query(({ input }) => services.getNewerConfiguration(input.version)),
    exchangeReports: trpc.procedure
      .input(z.object({ reports: z.array(reportSchema).max(MAXIMUM_REPORTS) }))
      .mutation(({ input }) => ({ reports: services.exchangeReports(input.reports) })),
    getRequestRecord: trpc.procedure
      .input(z.object({ requestId: z.string() }))
      .query(({ input }) => services.getRequestRecord(input.requestId)),
    borrowSlot: trpc.procedure
      .input(slotRequestSchema)
      .mutation(async ({ input }) => await services.lendSlot(input)),
    returnSlot: trpc.procedure
      .input(z.object({ leaseId: z.string() }))
      .mutation(({ input }) => {
        services.takeSlotBack(input.leaseId)
        return null
      })
  })
}

/** The type of the peers' router, for the client. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
