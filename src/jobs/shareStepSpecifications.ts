import type { StepSpecification } from './JobSpecification.js'

/** Fewer steps take little memory. */
const FEWEST_STEPS = 16
/** A step is compared with this many others, so that a job of many different steps takes little time. */
const COMPARED_STEPS = 4

/**
 * Makes equal steps of a job one object, because a job may have thousands of steps that are mostly alike.
 * @param steps The steps, which do not change.
 * @returns The steps in order; a step that equals one of the last different ones before it is the same object.
 */
export function shareStepSpecifications (steps: StepSpecification[]): StepSpecification[] {
  if (steps.length < FEWEST_STEPS) return steps
  const recent: StepSpecification[] = []
  return steps.map(step => {
    const equal = recent.find(other => areEqual(other, step))
    if (equal !== undefined) return equal
    recent.unshift(step)
    if (recent.length > COMPARED_STEPS) recent.pop()
    return step
  })
}

function areEqual (left: StepSpecification, right: StepSpecification): boolean {
  const names = Object.keys(left) as Array<keyof StepSpecification>
  return names.length === Object.keys(right).length && names.every(name =>
    left[name] === right[name] || (name === 'afterSteps' && areEqualLists(left.afterSteps, right.afterSteps)))
}

function areEqualLists (left: readonly number[], right: readonly number[]): boolean {
  return left.length === right.length && left.every((value, position) => value === right[position])
}
