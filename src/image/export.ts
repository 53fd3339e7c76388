import type { Image } from "./collect.js";
import { finished } from "./show.js";

/** How many rows a group of the file has: what a reader has to hold at a time. */
const GROUP = 100_000;

/**
 * Writes the jobs that are over as a Parquet file: `id`, `status`, `tasks`, `done`, `team`,
 * `accepted` and `over` (timestamps; `team` and `over` may be null), in order of ids.
 * @returns how many
 */
export async function exportFinished(image: Image, file: string): Promise<number> {
  // Nothing else needs the library.
  const { parquetWriteFile } = await import("hyparquet-writer");
  const jobs = [...finished(image)].sort(([a], [b]) => (a < b ? -1 : 1));
  const moment = (ms: number | null): Date | null => (ms === null ? null : new Date(ms));
  await parquetWriteFile({
    filename: file,
    rowGroupSize: GROUP,
    columnData: [
      { name: "id", data: jobs.map(([id]) => id), type: "STRING" },
      { name: "status", data: jobs.map(([, { status }]) => status), type: "STRING" },
      { name: "tasks", data: jobs.map(([, { tasks }]) => tasks), type: "INT32" },
      { name: "done", data: jobs.map(([, { done }]) => done), type: "INT32" },
      { name: "team", data: jobs.map(([, { team }]) => team), type: "STRING", nullable: true },
      { name: "accepted", data: jobs.map(([, { at }]) => moment(at)), type: "TIMESTAMP" },
      {
        name: "over",
        data: jobs.map(([, { over }]) => moment(over)),
        type: "TIMESTAMP",
        nullable: true,
      },
    ],
  });
  return jobs.length;
}
