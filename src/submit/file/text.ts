/** A position in a file. Lines and columns count from 1. */
export interface Place {
  file: string;
  line: number;
  column: number;
}

/**
 * A refused submit file: position, reason, and a hint what to write instead. Nothing was submitted.
 */
export class SubmitError extends Error {
  constructor(
    readonly reason: string,
    readonly place: Place,
    readonly hint: string | null = null,
  ) {
    super(
      `${place.file}:${place.line}:${place.column}: ${reason}${hint === null ? "" : `; ${hint}`}`,
    );
  }
}

/** A logical line: a line joined with its continuation lines. */
export interface Line {
  text: string;
  /** Position of a character of `text` in the file. */
  at(offset: number): Place;
}

/** @throws SubmitError at the first byte that is not UTF-8 */
export function decodeText(bytes: Uint8Array, file: string): string {
  try {
    // The decoder drops a byte order mark at the beginning.
    return new TextDecoder("utf-8", { fatal: true }).decode(bytes);
  } catch {
    throw new SubmitError(
      "not UTF-8",
      firstInvalidCharacter(bytes, file),
      "save the file as UTF-8",
    );
  }
}

/** Position of the first character that is not valid UTF-8. */
function firstInvalidCharacter(bytes: Uint8Array, file: string): Place {
  const decoder = new TextDecoder("utf-8", { fatal: true });
  let line = 1;
  let start = 0;
  for (let end = 0; end <= bytes.length; end++) {
    if (end < bytes.length && bytes[end] !== 10) continue;
    const row = bytes.subarray(start, end);
    try {
      decoder.decode(row);
    } catch {
      const good = new TextDecoder().decode(row).indexOf("\ufffd");
      return { file, line, column: Math.max(0, good) + 1 };
    }
    line++;
    start = end + 1;
  }
  return { file, line, column: 1 };
}

/**
 * Splits a file into logical lines: line ends of any system, lines that end in `\` joined with the
 * next. Empty lines and comments are skipped, also a comment inside a continued line.
 */
export function splitLines(text: string, file: string): Line[] {
  const rows = text.split(/\r\n|\n|\r/);
  const lines: Line[] = [];
  for (let i = 0; i < rows.length; i++) {
    if (/^\s*(#|$)/.test(rows[i]!)) continue;
    const pieces: { from: number; line: number }[] = [];
    let joined = "";
    for (;;) {
      const row = rows[i]!;
      const comment = pieces.length > 0 && /^\s*#/.test(row);
      const goes = !comment && /\\[ \t]*$/.test(row);
      if (!comment) {
        pieces.push({ from: joined.length, line: i + 1 });
        joined += goes ? row.replace(/\\[ \t]*$/, "") : row;
      }
      if ((!goes && !comment) || i + 1 >= rows.length) break;
      i++;
    }
    if (joined.trim() === "") continue;
    lines.push({
      text: joined,
      at: (offset) => {
        const piece = pieces.filter(({ from }) => from <= offset).at(-1) ?? pieces[0]!;
        return { file, line: piece.line, column: offset - piece.from + 1 };
      },
    });
  }
  return lines;
}

/** Edit distance: letters to insert, delete, replace, or swap with the next one. */
export function editDistance(a: string, b: string): number {
  const rows: number[][] = [Array.from({ length: b.length + 1 }, (_, j) => j)];
  for (let i = 1; i <= a.length; i++) {
    const row = [i];
    for (let j = 1; j <= b.length; j++) {
      const same = a[i - 1] === b[j - 1] ? 0 : 1;
      let best = Math.min(rows[i - 1]![j]! + 1, row[j - 1]! + 1, rows[i - 1]![j - 1]! + same);
      if (i > 1 && j > 1 && a[i - 1] === b[j - 2] && a[i - 2] === b[j - 1]) {
        best = Math.min(best, rows[i - 2]![j - 2]! + 1);
      }
      row.push(best);
    }
    rows.push(row);
  }
  return rows[a.length]![b.length]!;
}

/** The word closest to a misspelt one, or null if none is close enough. */
export function closestWord(word: string, words: Iterable<string>): string | null {
  let best: string | null = null;
  let least = Math.max(1, Math.floor(word.length / 3)) + 1;
  for (const one of words) {
    const far = editDistance(word, one);
    if (far < least) {
      best = one;
      least = far;
    }
  }
  return best;
}
