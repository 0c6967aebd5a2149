import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import type { Configuration } from '../configuration/Configuration.js'
import type { SchedulerService } from './SchedulerService.js'

/** A job of more tasks is to be submitted in parts, so that one journal batch can take it in. */
const MAX_TASKS_PER_JOB = 1000
const nameSchema = z.string().min(1).max(200)

/** A submission as callers send it. */
export const jobSubmission = z.object({
  team: nameSchema,
  key: nameSchema,
  kind: nameSchema,
  count: z.number().int().min(1).max(MAX_TASKS_PER_JOB).default(1),
  size: z.object({
    processors: z.number().positive(),
    memoryMegabytes: z.number().positive(),
    accelerators: z.number().int().min(0).default(0)
  }),
  dataCentre: z.string().nullable().default(null),
  payload: z.unknown().default(null)
})

const taskInput = z.object({ taskId: nameSchema, direct: z.boolean().default(false) })
const taskFilterInput = z.object({
  team: z.string().optional(),
  kind: z.string().optional(),
  state: z.enum([
    'waiting', 'starting', 'running', 'evicting', 'cancelling', 'transferred', 'completed', 'failed', 'cancelled'
  ]).optional(),
  limit: z.number().int().min(1).optional(),
  direct: z.boolean().default(false)
})

/** What the router serves. */
export interface SchedulerRouterOptions {
  service: SchedulerService
  getConfiguration: () => Configuration
  answerExchange: (own: { version: number }) => Configuration | null
}

/**
 * Creates the trpc router with one procedure for each of `SchedulerApi` and those of the configuration.
 * @param surroundings What the procedures call.
 * @returns The router.
 */
export function createSchedulerRouter ({ service, getConfiguration, answerExchange }: SchedulerRouterOptions) {
  const { router, procedure } = initTRPC.create()
  return router({
    submitJob: procedure.input(jobSubmission).mutation(({ input }) => service.submitJob(input)),
    cancelTask: procedure.input(taskInput).mutation(({ input }) => service.cancelTask(input, input.direct)),
    getTask: procedure.input(taskInput).query(({ input }) => service.getTask(input, input.direct)),
    listTasks: procedure.input(taskFilterInput).query(({ input }) => service.listTasks(input, input.direct)),
    listWorkers: procedure.input(z.object({ direct: z.boolean().default(false) }).optional())
      .query(({ input }) => service.listWorkers(input?.direct ?? false)),
    getStatus: procedure.query(() => service.getStatus()),
    inboxChanged: procedure.input(z.object({ shardId: nameSchema })).mutation(({ input }) => service.inboxChanged(input)),
    releaseShard: procedure.input(z.object({ shardId: nameSchema, epoch: z.number().int() }))
      .mutation(({ input }) => service.releaseShard(input)),
    getConfiguration: procedure.query(() => getConfiguration()),
    exchangeConfiguration: procedure.input(z.object({ version: z.number().int() }))
      .mutation(({ input }) => answerExchange(input))
  })
}

/** The type by which peers and the operators' command call the router. */
export type SchedulerRouter = ReturnType<typeof createSchedulerRouter>
