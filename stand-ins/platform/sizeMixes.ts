/**
 * Mixes of job sizes for simulated overloads: each is a distribution of the numbers of tasks of the steps of a job.
 */

/** Draws the number of tasks of each step of a job. */
export type SizeMix = (random: () => number) => number[]

/** Numbers of tasks are between 1 and this one. */
const MAXIMUM_WIDTH = 160

/**
 * Returns a mix of one-step jobs whose widths are distributed lognormally.
 * @param median The median width.
 * @param spread The standard deviation of the logarithm of the width.
 * @returns The mix.
 */
export function createLognormalMix (median: number, spread: number): SizeMix {
  return random => [drawLognormal(random, median, spread)]
}

/**
 * Returns a mix of jobs with two steps, the second after the first, whose widths are distributed lognormally.
 * @param median The median width of a step.
 * @param spread The standard deviation of the logarithm of the width.
 * @returns The mix.
 */
export function createTwoStepMix (median: number, spread: number): SizeMix {
  return random => [drawLognormal(random, median, spread), drawLognormal(random, median, spread)]
}

/**
 * Returns a mix of one-step jobs of two widths.
 * @param small The smaller width.
 * @param large The larger width.
 * @param largeShare The share of the jobs that have the larger width.
 * @returns The mix.
 */
export function createTwoPointMix (small: number, large: number, largeShare: number): SizeMix {
  return random => [random() < largeShare ? large : small]
}

/**
 * Returns a mix of one-step jobs whose widths are distributed uniformly.
 * @param minimum The smallest width.
 * @param maximum The largest width.
 * @returns The mix.
 */
export function createUniformMix (minimum: number, maximum: number): SizeMix {
  return random => [minimum + Math.floor(random() * (maximum - minimum + 1))]
}

/**
 * Returns a mix of one-step jobs whose widths have a Pareto distribution, limited to the largest width.
 * @param minimum The smallest width.
 * @param exponent The exponent of the tail; the lower it is, the more work the largest jobs have.
 * @returns The mix.
 */
export function createHeavyTailMix (minimum: number, exponent: number): SizeMix {
  return random => [limitWidth(minimum * (1 - random()) ** (-1 / exponent))]
}

function drawLognormal (random: () => number, median: number, spread: number): number {
  return limitWidth(median * Math.exp(spread * drawNormal(random)))
}

function drawNormal (random: () => number): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}

function limitWidth (width: number): number {
  return Math.max(1, Math.min(MAXIMUM_WIDTH, Math.round(width)))
}

/**
 * Draws the run times of a best-effort job relative to its estimates, as measured on the users' sites: 1.5 at the
 * median, 2.9 at 75%, 5.2 at 90%.
 * @param random The source of random numbers.
 * @returns The factor.
 */
export function drawBestEffortFactor (random: () => number): number {
  return 1.5 * Math.exp(0.98 * drawNormal(random))
}
