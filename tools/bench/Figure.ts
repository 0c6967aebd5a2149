/** A measured value, which the bench prints as a line of JSON. */
export interface Figure {
  /** The name of the measured quantity. */
  figure: string
  value: number
  unit: string
  /** The value of the naive alternative in the same run, or null when there is none. */
  naive: number | null
  /** The required bound as text, for example `at most 1`. */
  target: string
}

/** The function that each file in `benches/` exports as `runBench`. */
export type RunBench = (seed: number) => Promise<Figure[]>
