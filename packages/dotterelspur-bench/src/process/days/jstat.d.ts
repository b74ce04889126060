/** Types of the used part of the statistics library, which ships none. */
declare module 'jstat' {
  interface StudentT {
    /** The quantile of the distribution at probability `p`. */
    inv (p: number, degreesOfFreedom: number): number
  }
  interface Statistics {
    readonly studentt: StudentT
    mean (values: readonly number[]): number
    /** Of a sample if `isSample` is true. */
    stdev (values: readonly number[], isSample: boolean): number
  }
  const library: { readonly jStat: Statistics }
  export default library
}
