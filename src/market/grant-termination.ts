import { selectGrantsToCut, type ZonePlan } from "./capacity-plan.js";
import type { LeaderContext } from "./leader-context.js";
import type { Versioned } from "./market-state.js";
import { type Grant, keys } from "./records.js";
import type { ClusterCapacity } from "./zones.js";

/** Ends grants, early for the own teams or at their time, and charges for them. */
export class GrantTermination {
  #cutCount = 0;
  #slowestReleaseMs = 0;
  /** By grant that was cut short and is not released yet: when it was cut. */
  readonly #cutAt = new Map<string, number>();
  /**
   * By ended grant, the position of the part's summary at that time; only later ones show its
   * release.
   */
  readonly #summaryAtEnd = new Map<string, number>();

  constructor(readonly context: LeaderContext) {}

  /** Statistics since the last call: grants cut, and the longest time until one was released. */
  takeStatistics(): { cuts: number; slowestMs: number } {
    const statistics = { cuts: this.#cutCount, slowestMs: Math.round(this.#slowestReleaseMs) };
    this.#cutCount = 0;
    this.#slowestReleaseMs = 0;
    return statistics;
  }

  /**
   * Ends grants whose resources the own teams need: at once for their waiting tasks, otherwise with
   * time to save. Part owners stop guests' tasks for a waiting task without this. It fixes the end
   * that is charged for, and keeps guests from using the resources again.
   */
  async reclaim(
    cluster: ClusterCapacity,
    plans: ReadonlyMap<string, ZonePlan>,
    wall: number,
  ): Promise<void> {
    const { saveMs } = this.context.settings;
    // The free capacity of a part without a summary is not known, so its zone is skipped; the
    // part's
    // owner stops guests' tasks for the own teams without this.
    const zonesWithUnknownParts = new Set(
      cluster.unknownParts.map((part) => this.context.core.layout.home(part).zone),
    );
    for (const [zone, plan] of plans) {
      if (zonesWithUnknownParts.has(zone)) continue;
      const zoneGrants = [...this.context.marketState.grants.values()].filter(
        ({ value }) => value.zone === zone,
      );
      const running = zoneGrants.filter(({ value }) => value.until > wall);
      const urgent = new Set(
        selectGrantsToCut(
          running.map(({ value }) => value),
          plan.reclaimNow,
          cluster.usedCpus,
        ).map(({ id }) => id),
      );
      // Grants that end within the save time count towards the reclaimed capacity.
      const leavingCpus = running
        .filter(({ value }) => value.until <= wall + saveMs && !urgent.has(value.id))
        .reduce((sum, { value }) => sum + value.slot.cpus * value.slots, 0);
      const staying = running.filter(
        ({ value }) => value.until > wall + saveMs && !urgent.has(value.id),
      );
      const withSaveTime = new Set(
        selectGrantsToCut(
          staying.map(({ value }) => value),
          Number.isFinite(plan.reclaim)
            ? plan.reclaim - plan.reclaimNow - leavingCpus
            : Number.POSITIVE_INFINITY,
          cluster.usedCpus,
        ).map(({ id }) => id),
      );
      const changes: { grant: Versioned<Grant>; until: number; cut: string }[] = [];
      for (const grant of running) {
        const { id } = grant.value;
        if (urgent.has(id)) changes.push({ grant, until: wall, cut: "needed" });
        else if (withSaveTime.has(id))
          changes.push({ grant, until: wall + saveMs, cut: "reserve" });
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
    const { store, mirror, log } = this.context.core;
    if (!this.context.term.valid() || value.until <= until) return;
    // Reclaiming is urgent: it takes write budget even if none is left, before all that can wait.
    store.writes.force(1);
    const key = keys.grant(value.id);
    const next: Grant = { ...value, until: Math.max(value.from, until), cut };
    const result = await store.transact(
      [...this.context.leaderCondition, { key, version }],
      [{ put: key, value: next }],
    );
    if (!result.ok) return;
    mirror.apply({ key, value: next, version: result.revision, deleted: false });
    this.#cutCount++;
    this.#cutAt.set(value.id, this.context.core.clock.now());
    log.info({ grant: value.id, guest: value.guest, cut }, "grant cut short");
  }

  /**
   * Charges for ended grants once their resources are released; until then they count as in use.
   */
  async closeEnded(cluster: ClusterCapacity, wall: number): Promise<void> {
    const slackMs = 2 * this.context.core.settings.params.clock_error_ms;
    for (const { value, version } of [...this.context.marketState.grants.values()]) {
      if (value.until + slackMs > wall) continue;
      if (!this.#isReleased(value, cluster, wall)) continue;
      const cutAt = this.#cutAt.get(value.id);
      if (cutAt !== undefined) {
        this.#slowestReleaseMs = Math.max(
          this.#slowestReleaseMs,
          this.context.core.clock.now() - cutAt,
        );
        this.#cutAt.delete(value.id);
      }
      if (!this.context.takeWrites(3)) return;
      if (await this.context.accounts.closeGrant(value, version, this.context.leaderCondition)) {
        this.#summaryAtEnd.delete(value.id);
        this.context.core.log.info({ grant: value.id, guest: value.guest }, "grant ended");
      }
    }
  }

  /**
   * Whether a summary made after the end of the grant shows the guest's use in the part to be within
   * its remaining grants there.
   */
  #isReleased(grant: Grant, cluster: ClusterCapacity, wall: number): boolean {
    const summary = this.context.core.summaries.of(grant.part);
    if (summary === undefined) return false;
    const position = summary.token * 1e6 + summary.seq;
    const positionAtEnd = this.#summaryAtEnd.get(grant.id);
    if (positionAtEnd === undefined) {
      this.#summaryAtEnd.set(grant.id, position);
      return false;
    }
    // Wait for the second summary: the next one may have been made before the grant ended.
    if (position < positionAtEnd + 2) return false;
    let remainingCpus = 0;
    for (const { value } of this.context.marketState.grants.values()) {
      if (value.guest !== grant.guest || value.part !== grant.part || value.until <= wall) continue;
      remainingCpus += value.slot.cpus * value.slots;
    }
    return cluster.usedCpus(grant.guest, grant.part) <= remainingCpus + 1e-6;
  }
}
