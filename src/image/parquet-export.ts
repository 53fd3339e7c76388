import type { JobOutcome } from "../jobs/job-outcome.js";
import type { Image } from "./collect.js";
import { finishedJobs } from "./overview.js";

/** Rows per row group: the number held in memory at a time, here and in the reader. */
const ROW_GROUP_ROWS = 50_000;

type JobBatch = (readonly [id: string, outcome: JobOutcome])[];

const toDate = (ms: number | null): Date | null => (ms === null ? null : new Date(ms));

const columnsOf = (jobs: JobBatch) => [
  { name: "id", data: jobs.map(([id]) => id) },
  { name: "status", data: jobs.map(([, { status }]) => status) },
  { name: "tasks", data: jobs.map(([, { tasks }]) => tasks) },
  { name: "done", data: jobs.map(([, { done }]) => done) },
  { name: "team", data: jobs.map(([, { team }]) => team) },
  { name: "accepted", data: jobs.map(([, { at }]) => toDate(at)) },
  { name: "over", data: jobs.map(([, { over }]) => toDate(over)) },
];

/**
 * Writes the finished jobs as a Parquet file: `id`, `status`, `tasks`, `done`, `team`,
 * `accepted` and `over` (timestamps; `team` and `over` may be null), in order of id.
 * @returns the number of jobs
 */
export async function exportFinished(image: Image, file: string): Promise<number> {
  // Imported here, because only this function needs the library.
  const { fileWriter, ParquetWriter } = await import("hyparquet-writer");
  const required = { repetition_type: "REQUIRED" } as const;
  const optional = { repetition_type: "OPTIONAL" } as const;
  const text = { type: "BYTE_ARRAY", converted_type: "UTF8" } as const;
  const time = { type: "INT64", converted_type: "TIMESTAMP_MILLIS" } as const;
  const out = new ParquetWriter({
    writer: fileWriter(file),
    schema: [
      { name: "root", num_children: 7 },
      { name: "id", ...text, ...required },
      { name: "status", ...text, ...required },
      { name: "tasks", type: "INT32", ...required },
      { name: "done", type: "INT32", ...required },
      { name: "team", ...text, ...optional },
      { name: "accepted", ...time, ...required },
      { name: "over", ...time, ...optional },
    ],
  });
  let count = 0;
  let batch: JobBatch = [];
  const write = async (): Promise<void> => {
    await out.write({ columnData: columnsOf(batch), rowGroupSize: ROW_GROUP_ROWS });
    count += batch.length;
    batch = [];
  };
  for (const job of finishedJobs(image)) {
    batch.push(job);
    if (batch.length === ROW_GROUP_ROWS) await write();
  }
  if (batch.length > 0) await write();
  await out.finish();
  return count;
}
