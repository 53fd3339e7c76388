import type { Versioned } from "./book.js";
import type { Desk } from "./desk.js";
import { type Grant, keys } from "./records.js";
import { grantsToCut, type ZonePlan } from "./reserve.js";
import type { Cluster } from "./zones.js";

/** How grants end: cut short for the own teams, or by their time; and their charges. */
export class Giving {
  #cuts = 0;
  #slowestMs = 0;
  /** When a grant was cut whose room is not free yet. */
  readonly #asked = new Map<string, number>();
  /** By grant, the summary that was there when it ended: a newer one says who is still there. */
  readonly #seen = new Map<string, number>();

  constructor(readonly desk: Desk) {}

  /** What has happened since it was last asked. */
  sinceLast(): { cuts: number; slowestMs: number } {
    const found = { cuts: this.#cuts, slowestMs: Math.round(this.#slowestMs) };
    this.#cuts = 0;
    this.#slowestMs = 0;
    return found;
  }

  /**
   * Ends grants whose room the own teams need: at once where their tasks wait, else with time to
   * save. Owners stop guests for a waiting task by themselves, without this; it settles what is
   * charged, and keeps the room from being used again.
   */
  async back(cluster: Cluster, plans: ReadonlyMap<string, ZonePlan>, wall: number): Promise<void> {
    const { saveMs } = this.desk.settings;
    // What a silent part has free is not known; its owner stops guests for its own by itself.
    const silent = new Set(cluster.mute.map((part) => this.desk.core.layout.home(part).zone));
    for (const [zone, plan] of plans) {
      if (silent.has(zone)) continue;
      const here = [...this.desk.book.grants.values()].filter(({ value }) => value.zone === zone);
      const running = here.filter(({ value }) => value.until > wall);
      const urgent = new Set(
        grantsToCut(
          running.map(({ value }) => value),
          plan.now,
          cluster.use,
        ).map(({ id }) => id),
      );
      // What is on its way out already counts.
      const leaving = running
        .filter(({ value }) => value.until <= wall + saveMs && !urgent.has(value.id))
        .reduce((sum, { value }) => sum + value.slot.cpus * value.slots, 0);
      const staying = running.filter(
        ({ value }) => value.until > wall + saveMs && !urgent.has(value.id),
      );
      const gentle = new Set(
        grantsToCut(
          staying.map(({ value }) => value),
          Number.isFinite(plan.back) ? plan.back - plan.now - leaving : Number.POSITIVE_INFINITY,
          cluster.use,
        ).map(({ id }) => id),
      );
      const changes: { grant: Versioned<Grant>; until: number; cut: string }[] = [];
      for (const grant of running) {
        const { id } = grant.value;
        if (urgent.has(id)) changes.push({ grant, until: wall, cut: "needed" });
        else if (gentle.has(id)) changes.push({ grant, until: wall + saveMs, cut: "reserve" });
      }
      for (const change of changes) await this.#cut(change);
    }
  }

  async #cut({
    grant: { value, version },
    until,
    cut,
  }: {
    grant: Versioned<Grant>;
    until: number;
    cut: string;
  }): Promise<void> {
    const { store, mirror, log } = this.desk.core;
    if (!this.desk.leading.valid() || value.until <= until) return;
    // Machines come back whatever the budget says: this goes before all that can wait.
    store.writes.force(1);
    const key = keys.grant(value.id);
    const next: Grant = { ...value, until: Math.max(value.from, until), cut };
    const result = await store.transact(
      [...this.desk.guard, { key, version }],
      [{ put: key, value: next }],
    );
    if (!result.ok) return;
    mirror.apply({ key, value: next, version: result.revision, deleted: false });
    this.#cuts++;
    this.#asked.set(value.id, this.desk.core.clock.now());
    log.info({ grant: value.id, guest: value.guest, cut }, "grant cut short");
  }

  /** Charges what is over and whose room is free again: until then it counts as in use. */
  async end(cluster: Cluster, wall: number): Promise<void> {
    const slackMs = 2 * this.desk.core.settings.params.clock_error_ms;
    for (const { value, version } of [...this.desk.book.grants.values()]) {
      if (value.until + slackMs > wall) continue;
      if (!this.#left(value, cluster, wall)) continue;
      const asked = this.#asked.get(value.id);
      if (asked !== undefined) {
        this.#slowestMs = Math.max(this.#slowestMs, this.desk.core.clock.now() - asked);
        this.#asked.delete(value.id);
      }
      if (!this.desk.mayWrite(3)) return;
      if (await this.desk.accounts.close(value, version, this.desk.guard)) {
        this.#seen.delete(value.id);
        this.desk.core.log.info({ grant: value.id, guest: value.guest }, "grant ended");
      }
    }
  }

  /** Whether a summary made after its end says that the guest is within what is left to it. */
  #left(grant: Grant, cluster: Cluster, wall: number): boolean {
    const summary = this.desk.core.summaries.of(grant.part);
    if (summary === undefined) return false;
    const stamp = summary.token * 1e6 + summary.seq;
    const known = this.#seen.get(grant.id);
    if (known === undefined) {
      this.#seen.set(grant.id, stamp);
      return false;
    }
    // Two summaries on: one that was on its way when the grant ended may be older than that.
    if (stamp < known + 2) return false;
    let rest = 0;
    for (const { value } of this.desk.book.grants.values()) {
      if (value.guest !== grant.guest || value.part !== grant.part || value.until <= wall) continue;
      rest += value.slot.cpus * value.slots;
    }
    return cluster.use(grant.guest, grant.part) <= rest + 1e-6;
  }
}
