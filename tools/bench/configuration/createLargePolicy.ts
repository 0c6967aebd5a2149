/**
 * Creates a policy file that contains rules of six forms.
 * @param rules The number of rules.
 * @param faultyShare The share of rules, from 0 to 1, that have a misspelt keyword.
 * @returns The text.
 */
export function createLargePolicy (rules: number, faultyShare = 0): string {
  const lines: string[] = []
  for (let number = 0; lines.length < rules; number++) {
    const kind = `kind-${number}`
    lines.push(
      `urgent ${kind} within ${100 + number} ms # team ${number % 610}: somebody waits`,
      `never-repeat ${kind} # team ${number % 610}: a second run is billed`,
      `undisturbed ${kind} # team ${number % 610}: it runs for days`,
      `apart ${kind} from kind-${number + 1} # team ${number % 610}: they share caches`,
      `together ${kind} with kind-${number + 2} # team ${number % 610}: they share data`,
      `team team-${number} gets ${1 + number % 9} processors, ${2 + number % 7} GB, 0 accelerators # budget: share`
    )
  }
  const faulty = Math.round(rules * faultyShare)
  return lines.slice(0, rules).map((line, position) => position < faulty ? `x${line}` : line).join('\n')
}
