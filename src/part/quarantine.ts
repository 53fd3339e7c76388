import { keys } from "../state/keys.js";
import type { PartContext } from "./context.js";

/**
 * Unreadable records of a part. The chunks in an unreadable page are not known. So no chunk is started
 * that the part had at takeover and that is in no other page, since it may be running. The record is
 * left as it is. Chunks assigned to the part later are not affected.
 */
export class Quarantine {
  readonly #pages: string[] = [];
  readonly #handovers = new Set<string>();
  /** Names of chunks that are not started. */
  readonly #affectedChunks = new Set<string>();
  #loading = true;

  constructor(readonly ctx: PartContext) {}

  add(key: string): void {
    this.ctx.log.error(
      { key },
      "unreadable record quarantined: chunks that may be in it are not started",
    );
    const prefix = `${keys.records(this.ctx.index)}m/`;
    if (key.startsWith(prefix)) this.#handovers.add(key.slice(prefix.length));
    else this.#pages.push(key);
  }

  /** Ends the takeover: all records and headers that the part had were processed. */
  finishLoading(): void {
    this.#loading = false;
    if (this.#affectedChunks.size > 0) {
      this.ctx.log.error(
        { chunks: [...this.#affectedChunks].slice(0, 100) },
        "chunks not started: an unreadable record may contain them",
      );
    }
  }

  /** Whether a chunk without a stored state may be in an unreadable record. */
  mayAffect(name: string): boolean {
    if (this.#handovers.has(name)) return true;
    if (this.#loading && this.#pages.length > 0) this.#affectedChunks.add(name);
    return this.#affectedChunks.has(name);
  }
}
