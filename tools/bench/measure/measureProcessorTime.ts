/** The share of repetitions that run before the measurement, so that the code is compiled by then. */
const WARM_UP_SHARE = 0.2

/**
 * Measures the processor time of a function over many calls.
 * @param step The function; it receives the number of the repetition.
 * @param repetitions The number of measured calls.
 * @returns The processor time per call in microseconds, user and system together.
 */
export async function measureProcessorTime (
  step: (repetition: number) => unknown,
  repetitions: number
): Promise<number> {
  for (let repetition = 0; repetition < repetitions * WARM_UP_SHARE; repetition++) await step(repetition)
  const before = process.cpuUsage()
  for (let repetition = 0; repetition < repetitions; repetition++) await step(repetition)
  const spent = process.cpuUsage(before)
  return (spent.user + spent.system) / repetitions
}
