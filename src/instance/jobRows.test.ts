import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSubmission } from '../../stand-ins/platform/createSubmission.js'
import type { JobSubmission } from '../jobs/index.js'
import type { JsonValue } from '../shared/JsonValue.js'
import { decodeSubmission } from './jobRows.js'

const STEP_COUNT = 1000

function decode (submission: JobSubmission): JobSubmission {
  return decodeSubmission(JSON.parse(JSON.stringify(submission)) as JsonValue)!
}

test('the equal steps of a stored job are one object, and all steps are as they were stored', () => {
  const sizes = [1000, 1800, 500]
  const submission = createSubmission(Array.from({ length: STEP_COUNT }, (_, index) =>
    ({ processorsMilli: sizes[index % sizes.length], afterSteps: index === STEP_COUNT - 1 ? [0] : [] })))
  const decoded = decode(submission)
  assert.deepEqual(decoded, submission)
  const { steps } = decoded.specification
  // The last step has the size of the first one and depends on it.
  assert.equal(new Set(steps).size, sizes.length + 1)
  assert.equal(steps[3], steps[0])
  assert.notEqual(steps[STEP_COUNT - 1], steps[0])
})
