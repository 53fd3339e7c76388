/** A syntax error. Lines and columns count from 1. */
export class ClassAdError extends Error {
  constructor(
    readonly reason: string,
    readonly line: number,
    readonly column: number,
    /** What is allowed at this position. */
    readonly expected: readonly string[] = [],
  ) {
    super(`${line}:${column}: ${reason}`);
  }

  /** The same error for a text that begins at this line and column of a file. */
  at(line: number, column: number): ClassAdError {
    return new ClassAdError(
      this.reason,
      this.line + line - 1,
      this.line === 1 ? this.column + column - 1 : this.column,
      this.expected,
    );
  }
}
