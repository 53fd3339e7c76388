import { isHeader, type JobHeader, partChar } from "../jobs/job-header.js";
import { JOB_HEADER_PREFIX } from "../state/keys.js";
import type { PartContext } from "./context.js";

/** Where a chunk that a header gives to this part is: `null` when it is nowhere. */
export type Whereabouts = "here" | "on its way" | "left alone" | null;

/**
 * The chunks that a header gives to a part and that the part does not have. `left alone`: a record
 * that may be about it cannot be read, so it may be running (see `Quarantine`); somebody has to look.
 */
export function orphanChunks(
  id: string,
  header: JobHeader,
  part: number,
  whereIs: (id: string, chunk: number) => Whereabouts,
): { chunk: number; why: string }[] {
  if (header.status !== "open") return [];
  const mine = partChar(part);
  const found: { chunk: number; why: string }[] = [];
  for (let chunk = 0; chunk < header.owners.length; chunk++) {
    if (header.owners[chunk] !== mine) continue;
    const where = whereIs(id, chunk);
    if (where === null) found.push({ chunk, why: "not known to its part" });
    else if (where === "left alone") found.push({ chunk, why: "its record cannot be read" });
  }
  return found;
}

/**
 * Once a lease, looks for accepted jobs that their part does not try to place. A safety net: headers
 * are taken in as they come, so it should find nothing. What it finds twice in a row is taken in and counted.
 */
export class OrphanSweep {
  #at: number;
  #found = new Set<string>();

  constructor(
    readonly ctx: PartContext,
    readonly whereIs: (id: string, chunk: number) => Whereabouts,
    readonly takeIn: (id: string, header: JobHeader) => void,
  ) {
    this.#at = ctx.clock.now();
  }

  run(): void {
    const { clock, leaseMs, mirror, index, log, metrics } = this.ctx;
    if (clock.now() - this.#at < leaseMs) return;
    this.#at = clock.now();
    const before = this.#found;
    this.#found = new Set();
    for (const [key, { value }] of mirror.rows) {
      if (!key.startsWith(JOB_HEADER_PREFIX) || !isHeader(value)) continue;
      const id = key.slice(JOB_HEADER_PREFIX.length);
      const stray = orphanChunks(id, value, index, this.whereIs);
      if (stray.length === 0) continue;
      this.#found.add(id);
      if (!before.has(id)) continue;
      metrics.add({ kind: "event", what: "job without owner" });
      log.error({ part: index, job: id, chunks: stray.slice(0, 20) }, "job without owner");
      if (stray.some(({ why }) => why === "not known to its part")) this.takeIn(id, value);
    }
  }
}
