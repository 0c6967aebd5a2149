import type { IncomingMessage, ServerResponse } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import polka, { type Polka, type Request } from 'polka'
import type { Registry } from 'prom-client'
import { jobSubmission, type SchedulerRouter } from './schedulerRouter.js'
import type { SchedulerService } from './SchedulerService.js'
import type { SubmissionOutcome } from './SchedulerApi.js'

/** The maximum size of a submission, whose payload all tasks share. Larger inputs belong in the object store. */
const MAX_BODY_BYTES = 256 * 1024

/** Options of the HTTP application of a scheduler. */
export interface SchedulerApplicationOptions {
  service: SchedulerService
  router: SchedulerRouter
  registry: Registry
  isReady: () => boolean
}

/** The HTTP status and the `papayamoor-outcome` header of each submission outcome. */
const SUBMISSION_STATUS: Record<SubmissionOutcome['kind'], { status: number, outcome: string }> = {
  accepted: { status: 202, outcome: 'answered' },
  'not-run': { status: 409, outcome: 'not-run' },
  unknown: { status: 504, outcome: 'unknown' }
}

/**
 * Creates the HTTP application of a scheduler.
 * @param options The service, the router and the metrics that the application serves.
 * @returns The application, not yet listening.
 */
export function createSchedulerApplication (options: SchedulerApplicationOptions): Polka {
  const { service, registry, isReady } = options
  const handleTrpc = createHTTPHandler({ router: options.router, basePath: '/trpc/' })
  const application = polka({
    onError: (error, _request, response) => {
      sendProblem(response, 500, 'Internal error', (error as Error).message ?? String(error))
    }
  })
  application.post('/jobs', async (request: Request, response: ServerResponse) => {
    const body = await readBody(request)
    if (body === null) return sendProblem(response, 413, 'Too large', `A job has at most ${MAX_BODY_BYTES} bytes.`)
    const parsed = jobSubmission.safeParse(parseJson(body))
    if (!parsed.success) {
      const detail = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')
      response.setHeader('papayamoor-outcome', 'not-run')
      return sendProblem(response, 400, 'Not a job', detail)
    }
    const submitted = await service.submitJob(parsed.data)
    const { status, outcome } = SUBMISSION_STATUS[submitted.kind]
    response.setHeader('papayamoor-outcome', outcome)
    if (submitted.kind === 'accepted') return send(response, status, submitted)
    sendProblem(response, status, outcome === 'unknown' ? 'Outcome unknown' : 'Not run', submitted.reason)
  })
  application.get('/tasks/:taskId', async (request: Request, response: ServerResponse) => {
    const report = await service.getTask({ taskId: decodeURIComponent(request.params.taskId) })
    if (report === null) return sendProblem(response, 404, 'No such task', 'No owner knows the task.')
    send(response, 200, report)
  })
  application.delete('/tasks/:taskId', async (request: Request, response: ServerResponse) => {
    const outcome = await service.cancelTask({ taskId: decodeURIComponent(request.params.taskId) })
    if (outcome.kind === 'not-found') return sendProblem(response, 404, 'No such task', 'No owner knows the task.')
    send(response, outcome.kind === 'accepted' ? 202 : 409, outcome)
  })
  application.get('/healthz', (_request: Request, response: ServerResponse) => send(response, 200, { healthy: true }))
  application.get('/readyz', (_request: Request, response: ServerResponse) => {
    send(response, isReady() ? 200 : 503, { ready: isReady() })
  })
  application.get('/metrics', async (_request: Request, response: ServerResponse) => {
    response.writeHead(200, { 'content-type': registry.contentType })
    response.end(await registry.metrics())
  })
  application.all('/trpc/*', (request: Request, response: ServerResponse) => {
    // polka strips the prefix of `url` only for mounted handlers, so the trpc adapter receives the full path.
    handleTrpc(request as IncomingMessage, response)
  })
  return application
}

function send (response: ServerResponse, status: number, body: unknown, contentType = 'application/json'): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

function sendProblem (response: ServerResponse, status: number, title: string, detail: string): void {
  send(response, status, { type: 'about:blank', title, status, detail }, 'application/problem+json')
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

async function readBody (request: IncomingMessage): Promise<string | null> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request) {
    length += (chunk as Buffer).length
    if (length > MAX_BODY_BYTES) return null
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks).toString()
}
