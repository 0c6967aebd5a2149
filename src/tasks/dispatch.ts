import type { PlacementDecision } from '../placement/PlacementEngine.js'
import type { OwnerCore } from './OwnerCore.js'
import type { TaskRecord } from './TaskRecord.js'
import { isCandidate, type WaitingClass } from './WaitingQueue.js'

/** Bounds the time of one pass; classes that were not reached come first in the next. */
const MAX_DECISIONS = 500
/** A class that did not fit is tried again after this time even when no capacity was seen to become free. */
const RETRY_MILLISECONDS = 1000
/** Bounds the evictions in flight: each writes a checkpoint, and more would crowd out other traffic. */
export const MAX_EVICTIONS = 32
/** After its return a data centre is refilled at this pace, so that a second failure interrupts little work. */
export const REFILL_STARTS_PER_SECOND = 20
const REFILL_DURATION_MILLISECONDS = 60_000

/** Places waiting tasks, urgent ones first; a task that does not fit holds up only its like. */
export function dispatch (core: OwnerCore, now: number): void {
  if (!core.mayStart(now)) return
  let decisions = 0
  for (const waitingClass of core.queue.getClasses()) {
    if (!isCandidate(waitingClass, core.capacityVersion, now)) continue
    for (const task of waitingClass.tasks) {
      if (isBeyondRefillPace(core, task, now)) break
      if (++decisions > MAX_DECISIONS) return
      const decision = core.engine.decide(core.getPlacementRequest(task), now)
      if (!applyDecision(core, task, decision, now)) {
        markBlocked(core, waitingClass, now)
        break
      }
    }
    core.queue.rotate(waitingClass)
  }
}

/** Tells whether a pass would try at least one task. */
export function hasCandidates (core: OwnerCore, now: number): boolean {
  return core.queue.size > 0 && core.mayStart(now) && core.queue.hasCandidate(core.capacityVersion, now)
}

/** Returns whether the next task of the class may be tried. */
function applyDecision (core: OwnerCore, task: TaskRecord, decision: PlacementDecision, now: number): boolean {
  if (decision.kind === 'placed') {
    const worker = core.state.workers.get(decision.workerId)
    if (worker === undefined || !core.isReady(worker)) {
      core.engine.release(core.getRun(task))
      core.workersChanged = true
      return false
    }
    core.place(task, worker, decision.reserved, now)
    if (!worker.journalled) {
      const { workerId, address, dataCentre, rack, capacity } = worker
      core.journal.append({ type: 'worker', worker: { workerId, address, dataCentre, rack, capacity } })
      worker.journalled = true
    }
    const { taskId, attempt } = task
    core.journal.append({ type: 'start', taskId, attempt, workerId: worker.workerId, reserved: decision.reserved })
    core.startsSinceReturn++
    core.counters.starts++
    return true
  }
  if (decision.kind === 'evict-first') {
    task.reason = 'no-capacity'
    for (const victim of decision.victims) {
      const evicted = core.state.tasks.get(victim.taskId)
      if (evicted !== undefined && evicted.attempt === victim.attempt && core.evicting.size < MAX_EVICTIONS) {
        core.evict(evicted, now)
      }
    }
    return false
  }
  task.reason = decision.reason
  if (decision.kind === 'wait' && decision.reason === 'team-quota') core.quotas.requestQuota(task.job.team, task.job.size, now)
  return false
}

function markBlocked (core: OwnerCore, waitingClass: WaitingClass, now: number): void {
  waitingClass.blockedAtVersion = core.capacityVersion
  waitingClass.retryAt = now + RETRY_MILLISECONDS
}

function isBeyondRefillPace (core: OwnerCore, task: TaskRecord, now: number): boolean {
  const elapsed = now - core.returnedAt
  if (elapsed > REFILL_DURATION_MILLISECONDS || core.isUrgent(task.job.kind)) return false
  return core.startsSinceReturn >= (elapsed / 1000 + 1) * REFILL_STARTS_PER_SECOND
}
