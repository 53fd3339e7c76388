import { isJobHeader, type JobHeader, partChar } from "../jobs/job-header.js";
import { JOB_HEADER_PREFIX } from "../state/keys.js";
import type { PartContext } from "./context.js";

/** Where a chunk is that a header gives to this part; `null` if the part does not know it. */
export type ChunkLocation = "here" | "being loaded" | "in quarantine" | null;

/**
 * Chunks that a header gives to a part and that the part has not loaded. `in quarantine`: a record that
 * may contain the chunk cannot be read, so it may be running (see `Quarantine`). An operator has to
 * look at it.
 */
export function orphanChunks(
  id: string,
  header: JobHeader,
  part: number,
  locate: (id: string, chunk: number) => ChunkLocation,
): { chunk: number; why: string }[] {
  if (header.status !== "open") return [];
  const ownerChar = partChar(part);
  const orphans: { chunk: number; why: string }[] = [];
  for (let chunk = 0; chunk < header.owners.length; chunk++) {
    if (header.owners[chunk] !== ownerChar) continue;
    const location = locate(id, chunk);
    if (location === null) orphans.push({ chunk, why: "not known to its part" });
    else if (location === "in quarantine")
      orphans.push({ chunk, why: "its record cannot be read" });
  }
  return orphans;
}

/**
 * Once per lease, looks for accepted jobs that their part does not try to place. A safety net: headers
 * are adopted when they arrive, so it should find nothing. A job found in two successive runs is
 * counted and adopted.
 */
export class OrphanSweep {
  #lastRunAt: number;
  #orphanJobs = new Set<string>();

  constructor(
    readonly ctx: PartContext,
    readonly locate: (id: string, chunk: number) => ChunkLocation,
    readonly adopt: (id: string, header: JobHeader) => void,
  ) {
    this.#lastRunAt = ctx.clock.now();
  }

  run(): void {
    const { clock, leaseMs, mirror, index, log, metrics } = this.ctx;
    if (clock.now() - this.#lastRunAt < leaseMs) return;
    this.#lastRunAt = clock.now();
    const previousOrphanJobs = this.#orphanJobs;
    this.#orphanJobs = new Set();
    for (const [key, { value }] of mirror.rows) {
      if (!key.startsWith(JOB_HEADER_PREFIX) || !isJobHeader(value)) continue;
      const id = key.slice(JOB_HEADER_PREFIX.length);
      const orphans = orphanChunks(id, value, index, this.locate);
      if (orphans.length === 0) continue;
      this.#orphanJobs.add(id);
      if (!previousOrphanJobs.has(id)) continue;
      metrics.add({ kind: "event", what: "job without owner" });
      log.error({ part: index, job: id, chunks: orphans.slice(0, 20) }, "job without owner");
      if (orphans.some(({ why }) => why === "not known to its part")) this.adopt(id, value);
    }
  }
}
