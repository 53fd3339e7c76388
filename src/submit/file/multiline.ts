import { type Line, SubmitError } from "./text.js";

/** Reads the lines after a list's opening bracket, up to the closing one. */
export function readList(lines: readonly Line[], from: number): { rows: string[]; last: number } {
  const rows: string[] = [];
  for (let i = from + 1; i < lines.length; i++) {
    const { text } = lines[i]!;
    const end = /^([\s\S]*?)\)\s*$/.exec(text);
    if (end !== null && !end[1]!.includes("(")) {
      if (end[1]!.trim() !== "") rows.push(end[1]!);
      return { rows, last: i };
    }
    rows.push(text);
  }
  const line = lines[from]!;
  throw new SubmitError("this list is not closed", line.at(line.text.lastIndexOf("(")));
}

/** Reads the lines of a block `name @=end`, up to `@end`. */
export function readBlock(lines: readonly Line[], from: number): { rows: Line[]; last: number } {
  const { text, at } = lines[from]!;
  const equals = text.indexOf("=");
  const tag = text.slice(equals + 1).trim();
  const rows: Line[] = [];
  for (let i = from + 1; i < lines.length; i++) {
    if (lines[i]!.text.trim() === `@${tag}`) return { rows, last: i };
    rows.push(lines[i]!);
  }
  throw new SubmitError(`there is no @${tag} to end this`, at(text.search(/\S/)));
}
