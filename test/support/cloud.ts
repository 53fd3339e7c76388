import type { Answer } from "../../src/http/client.js";
import { type Build, M4, Worker } from "./worker.js";
import type { World } from "./world.js";

/** Simulated cloud: rents and returns machines; its lists lag by up to 4 s. */
export class FakeCloud {
  outage = false;
  builds: Build[] = [M4];
  /** Maximum count of machines in one zone. */
  zoneCapacity = Number.POSITIVE_INFINITY;
  /** Minimum and maximum boot time. */
  bootMs: [number, number] = [5000, 15_000];
  /** Names of types that cannot be rented at present. */
  readonly soldOut = new Set<string>();
  readonly #booting: {
    id: string;
    spot: boolean;
    zone: string;
    build: Build;
    at: number;
    rentedAt: number;
  }[] = [];
  readonly #requests = new Map<string, string[]>();
  #machines = 0;

  constructor(readonly world: World) {}

  async call(method: string, path: string, body: unknown): Promise<Answer> {
    await this.world.sleep(this.world.random.int(50, 150));
    if (this.outage) return { status: 503, body: { error: "trouble" } };
    if (path === "/catalog") {
      const builds = this.builds.map(({ name, cores, memGb, rate }) => ({
        name,
        cores,
        accelerators: 0,
        memGb,
        cacheGb: 50,
        fetchGbPerS: 1,
        rate,
        spotPrice: 0.3 * rate,
        bootS: 10,
        berths: [...this.world.zones],
      }));
      return { status: 200, body: { builds } };
    }
    if (path === "/hosts/return") {
      for (const id of (body as { hosts: string[] }).hosts) this.world.remove(id);
      return { status: 200, body: {} };
    }
    if (method === "POST") return this.#rent(body as Record<string, unknown>);
    const hosts = [
      ...[...this.world.workers.values()].map((worker) => ({ ...worker, status: "running" })),
      ...this.#booting.map((machine) => ({ ...machine, status: "starting" })),
    ].map(({ id, spot, zone, build, status }) => ({
      uid: id,
      address: `w:${id}`,
      build: build.name,
      berth: zone,
      borrowed: spot,
      status,
      heldS: 1,
    }));
    // The answer is delayed, so the list is stale by up to 4 s.
    await this.world.sleep(this.world.random.int(0, 4000));
    return { status: 200, body: { hosts, more: false } };
  }

  #rent({ charter, build: name, berth, borrowed, howMany }: Record<string, unknown>): Answer {
    const earlier = this.#requests.get(String(charter));
    if (earlier !== undefined) return { status: 200, body: { hosts: earlier } };
    const remaining = this.world.capacity - this.world.workers.size - this.#booting.length;
    const inZone = [...this.world.workers.values(), ...this.#booting].filter(
      ({ zone }) => zone === berth,
    );
    const count = Math.min(remaining, this.zoneCapacity - inZone.length, Number(howMany));
    const build = this.builds.find((one) => one.name === name);
    if (build === undefined) return { status: 400, body: { error: "no such build" } };
    if (count <= 0 || this.soldOut.has(build.name))
      return { status: 503, body: { error: "no capacity" } };
    const ids: string[] = [];
    for (let i = 0; i < count; i++) {
      const id = `host-${String(this.#machines++).padStart(6, "0")}`;
      ids.push(id);
      const now = this.world.clock.now();
      const at = now + this.world.random.int(...this.bootMs);
      const zone = String(berth);
      this.#booting.push({ id, spot: borrowed === true, zone, build, at, rentedAt: now });
      this.world.clock.after(at - now, () => {
        const index = this.#booting.findIndex((machine) => machine.id === id);
        if (index < 0) return;
        this.#booting.splice(index, 1);
        this.world.workers.set(id, new Worker(this.world, id, borrowed === true, zone, build));
      });
    }
    this.#requests.set(String(charter), ids);
    return { status: 200, body: { hosts: ids } };
  }

  /** Removes a machine that is still booting. */
  cancelBoot(id: string): void {
    const index = this.#booting.findIndex((machine) => machine.id === id);
    if (index >= 0) this.#booting.splice(index, 1);
  }
}
