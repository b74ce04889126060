/** The part of the statistics library that is used here; it ships no types of its own. */
declare module 'jstat' {
  interface StudentT {
    /** The value below which a part `p` of the distribution lies. */
    inv (p: number, degreesOfFreedom: number): number
  }
  interface Statistics {
    readonly studentt: StudentT
    mean (values: readonly number[]): number
    /** Of a sample where `isSample` is true. */
    stdev (values: readonly number[], isSample: boolean): number
  }
  const library: { readonly jStat: Statistics }
  export default library
}
