/** The history of revisions, for display and to recognise repeated requests. */
import { keys } from "../state/keys.js";
import type { Mirror } from "../state/mirror.js";
import { type HistoryEntry, isHistoryEntry } from "./records.js";

/** Number of revisions whose entries are kept. */
export const HISTORY_LENGTH = 50;

/** The entries up to a revision, oldest first; unreadable ones are left out. */
export function historyUpTo(mirror: Pick<Mirror, "rows">, newest: number): HistoryEntry[] {
  const entries: HistoryEntry[] = [];
  const oldest = Math.max(1, newest - HISTORY_LENGTH + 1);
  for (let revision = oldest; revision <= newest; revision++) {
    const value = mirror.rows.get(keys.configurationEntry(revision))?.value;
    if (isHistoryEntry(value)) entries.push(value);
  }
  return entries;
}
