import assert from 'node:assert/strict'
import { test } from 'node:test'
import fastCheck from 'fast-check'
import { getTestSeed } from '../shared/testSeed.js'
import { createRequestState, isRetrySafe, stepRequest, type RequestEffect, type RequestRules } from './stepRequest.js'
import type { AttemptResult } from './UpstreamClient.js'

/** What really happens to an attempt at its upstream. */
type AttemptBehaviour = 'answers' | 'refuses' | 'unsent' | 'lost-before' | 'lost-after'

interface Scenario {
  mayRepeat: boolean
  behaviours: AttemptBehaviour[]
  /** At each step, which of the possible events comes next. */
  choices: number[]
  deadlineAfter: number
  retries: number
}

type Step = typeof stepRequest

const results: Record<AttemptBehaviour, AttemptResult> = {
  answers: { kind: 'answered', response: { statusCode: 200, headers: [], body: Buffer.from('own') }, closing: false },
  refuses: { kind: 'refused', closing: false },
  unsent: { kind: 'not-sent', reason: 'ECONNREFUSED' },
  'lost-before': { kind: 'lost', reason: 'connection-lost', detail: '' },
  'lost-after': { kind: 'lost', reason: 'connection-lost', detail: '' }
}
const ranUpstream: Record<AttemptBehaviour, boolean> = {
  answers: true, refuses: false, unsent: false, 'lost-before': false, 'lost-after': true
}

const scenarios = fastCheck.record({
  mayRepeat: fastCheck.boolean(),
  truths: fastCheck.array(
    fastCheck.constantFrom<AttemptBehaviour>('answers', 'refuses', 'unsent', 'lost-before', 'lost-after'),
    { minLength: 5, maxLength: 5 }),
  choices: fastCheck.array(fastCheck.nat(), { minLength: 30, maxLength: 30 }),
  deadlineAfter: fastCheck.integer({ min: 1, max: 20 }),
  retries: fastCheck.integer({ min: 0, max: 4 })
})

/** Plays a scenario against the rules and returns what the caller was told and what ran. */
function runScenario (scenario: Scenario, step: Step, mayRetry: RequestRules['mayRetry']) {
  const state = createRequestState(scenario.mayRepeat)
  let retries = scenario.retries
  const withdraw = () => retries-- > 0
  const rules: RequestRules = { mayRetry, withdrawRetry: withdraw, withdrawHedge: withdraw }
  const reported: Array<Extract<RequestEffect, { kind: 'tell' }>['outcome']> = []
  const open: number[] = []
  let acquiring = false
  let runs = 0
  let attempts = 0
  let slots = 0
  const apply = (effects: RequestEffect[]) => {
    for (const effect of effects) {
      if (effect.kind === 'acquire' || effect.kind === 'acquire-hedge') acquiring = true
      if (effect.kind === 'stop-acquiring') acquiring = false
      if (effect.kind === 'return-slot') slots--
      if (effect.kind === 'tell') reported.push(effect.outcome)
      if (effect.kind === 'send') {
        open.push(effect.attempt)
        attempts++
        if (ranUpstream[scenario.behaviours[effect.attempt - 1]]) runs++
      }
    }
  }
  apply(step(state, { kind: 'begin' }, rules))
  let deadlinePassed = false
  for (const [round, choice] of scenario.choices.entries()) {
    if (round === scenario.deadlineAfter) {
      deadlinePassed = true
      apply(step(state, { kind: 'deadline' }, rules))
      continue
    }
    const events: Array<() => void> = [() => apply(step(state, { kind: 'hedge-due' }, rules))]
    if (acquiring) {
      events.push(() => {
        acquiring = false
        slots++
        apply(step(state, { kind: 'slot-granted', upstreamId: `u${attempts}` }, rules))
      }, () => {
        acquiring = false
        apply(step(state, { kind: 'slot-denied', reason: 'overloaded', detail: '' }, rules))
      })
    }
    for (const attempt of open) {
      events.push(() => {
        open.splice(open.indexOf(attempt), 1)
        slots--
        apply(step(state, { kind: 'attempt-ended', attempt, result: results[scenario.behaviours[attempt - 1]] }, rules))
      })
    }
    events[choice % events.length]()
  }
  return { told: reported, runs, attempts, slots, openCount: open.length, deadlinePassed, mayRepeat: scenario.mayRepeat }
}

function checkScenario (scenario: Scenario, step: Step, mayRetry: RequestRules['mayRetry']): void {
  const result = runScenario(scenario, step, mayRetry)
  assert.equal(result.told.length, 1, 'the caller is told exactly one outcome')
  if (result.told[0].kind === 'notRun') assert.equal(result.runs, 0, 'work that is told as not run did not run')
  if (!scenario.mayRepeat) assert.ok(result.runs <= 1, 'work that must not be repeated runs at most once')
  if (result.told[0].kind === 'answered') assert.ok(result.runs >= 1)
  assert.equal(result.slots, result.openCount, 'every slot is held by an attempt in flight')
}

function checkAllScenarios (step: Step, mayRetry: RequestRules['mayRetry']): void {
  fastCheck.assert(
    fastCheck.property(scenarios, scenario => checkScenario(scenario, step, mayRetry)),
    { seed: getTestSeed(), numRuns: 2000, includeErrorInReport: true })
}

test('outcomes are true, work runs at most once unless repeatable, and slots are kept by attempts only', () => {
  checkAllScenarios(stepRequest, isRetrySafe)
})

test('the proof catches retries of work that may have run', () => {
  assert.throws(() => checkAllScenarios(stepRequest, () => true), /at most once/)
})

test('the proof catches a lost answer told as not run', () => {
  const broken: Step = (state, message, rules) => stepRequest(state, message, rules).map(effect =>
    effect.kind === 'tell' && effect.outcome.kind === 'unknown'
      ? { ...effect, outcome: { kind: 'notRun', reason: 'not-sent', detail: '' } }
      : effect)
  assert.throws(() => checkAllScenarios(broken, isRetrySafe), /did not run/)
})

test('the proof catches a slot that is not returned after the deadline', () => {
  const broken: Step = (state, message, rules) =>
    stepRequest(state, message, rules).filter(effect => effect.kind !== 'return-slot' && effect.kind !== 'stop-acquiring')
  assert.throws(() => checkAllScenarios(broken, isRetrySafe), /slot/)
})

/** The naive router: one attempt, whatever its result. */
function routeWithoutRetry (truth: AttemptBehaviour): 'answered' | 'notRun' | 'unknown' {
  if (truth === 'answers') return 'answered'
  return truth === 'refuses' || truth === 'unsent' ? 'notRun' : 'unknown'
}

test('without hedges, a request that the naive router answers is answered by the same first attempt', () => {
  fastCheck.assert(fastCheck.property(scenarios, scenario => {
    const truths = scenario.truths.map((truth, index) => index === 0 ? 'answers' as const : truth)
    const state = createRequestState(scenario.mayRepeat)
    const rules = { mayRetry: isRetrySafe, withdrawRetry: () => true, withdrawHedge: () => false }
    stepRequest(state, { kind: 'begin' }, rules)
    stepRequest(state, { kind: 'slot-granted', upstreamId: 'u' }, rules)
    stepRequest(state, { kind: 'attempt-ended', attempt: 1, result: results[truths[0]] }, rules)
    assert.equal(state.outcome?.kind, routeWithoutRetry(truths[0]))
    assert.equal(state.attempts, 1)
  }), { seed: getTestSeed(), numRuns: 100, includeErrorInReport: true })
})

test('with one retry, the outcome is never worse than that of the naive router', () => {
  const rank = { answered: 2, unknown: 1, notRun: 1 }
  fastCheck.assert(fastCheck.property(scenarios, scenario => {
    const state = createRequestState(scenario.mayRepeat)
    const rules = { mayRetry: isRetrySafe, withdrawRetry: () => true, withdrawHedge: () => false }
    let effects = stepRequest(state, { kind: 'begin' }, rules)
    while (effects.some(effect => effect.kind === 'acquire')) {
      stepRequest(state, { kind: 'slot-granted', upstreamId: 'u' }, rules)
      const result = results[scenario.truths[state.attempts - 1]]
      effects = stepRequest(state, { kind: 'attempt-ended', attempt: state.attempts, result }, rules)
    }
    assert.ok(state.outcome !== null && rank[state.outcome.kind] >= rank[routeWithoutRetry(scenario.truths[0])])
  }), { seed: getTestSeed(), numRuns: 500, includeErrorInReport: true })
})
