/** Faults of a run at their times: a controller killed, machines lost, the state service out. */
import { JobClient } from "../client/client.js";
import type { Timer } from "../clock.js";
import { systemClock } from "../clock.js";
import { Draw } from "./draw.js";
import type { LabPlatform } from "./platform.js";

const DAY_S = 86_400;
/** Draws of faults are apart from those of users and machines. */
const FAULT_SEED = 77;

export class Faults {
  readonly #timers: Timer[] = [];
  readonly #draw: Draw;

  constructor(
    readonly platform: LabPlatform,
    /** Told of each fault, for people. */
    readonly say: (text: string) => void,
  ) {
    this.#draw = new Draw(platform.scenario.seed + FAULT_SEED);
  }

  /** Sets all timers; now is the start of the run. */
  start(): void {
    const { faults } = this.platform.scenario;
    const { controller_killed_at_s: killedAtS, machines_lost: lost, state_out: out } = faults;
    const { controller_drained_at_s: drainedAtS } = faults;
    if (drainedAtS !== undefined) this.#at(drainedAtS, () => void this.#drainController());
    if (killedAtS !== undefined) this.#at(killedAtS, () => this.#killController());
    if (lost !== undefined) this.#at(lost.at_s, () => this.#loseMachines(lost.count));
    if (out !== undefined) {
      this.#at(out.at_s, () => this.#outage(true));
      this.#at(out.at_s + out.length_s, () => this.#outage(false));
    }
    const perS = faults.speed / DAY_S;
    this.#again(faults.machine_failures_per_day * perS, () => this.#loseMachines(1));
    this.#again(faults.machine_restarts_per_day * perS, () => this.#restartMachine());
  }

  stop(): void {
    for (const timer of this.#timers) timer.cancel();
  }

  #at(seconds: number, run: () => void): void {
    this.#timers.push(systemClock.after(seconds * 1000, run));
  }

  #again(perS: number, run: () => void): void {
    if (perS <= 0) return;
    this.#at(this.#draw.waitMs(perS) / 1000, () => {
      run();
      this.#again(perS, run);
    });
  }

  #killController(): void {
    const { controllers, scenario } = this.platform;
    const victim = controllers[this.#draw.index(controllers.length)]!;
    this.say(`controller ${victim.name} killed`);
    void victim.kill();
    this.#at(scenario.faults.controller_back_after_s, () => victim.start());
  }

  async #drainController(): Promise<void> {
    const { controllers } = this.platform;
    const { name, listen } = controllers[this.#draw.index(controllers.length)]!;
    const client = new JobClient(listen);
    try {
      await client.drain(true);
      this.say(`controller ${name} drained`);
    } catch (error) {
      this.say(`controller ${name} not drained: ${(error as Error).message}`);
    } finally {
      client.close();
    }
  }

  #loseMachines(count: number): void {
    const lost: string[] = [];
    const left = [...this.platform.up];
    while (lost.length < count && left.length > 0) {
      const [key] = left.splice(this.#draw.index(left.length), 1);
      lost.push(key!);
    }
    for (const { region, cloud } of this.platform.regions) {
      const prefix = `${region.name}/`;
      const uids = lost.filter((key) => key.startsWith(prefix));
      cloud.send({ kind: "fail", uids: uids.map((key) => key.slice(prefix.length)) });
    }
    if (count > 1) this.say(`${lost.length} machines lost`);
  }

  #restartMachine(): void {
    const up = [...this.platform.up];
    const key = up[this.#draw.index(up.length)];
    if (key === undefined) return;
    const slash = key.indexOf("/");
    const [region, uid] = [key.slice(0, slash), key.slice(slash + 1)];
    this.platform.workersOf(key).send({ kind: "restart", region, uid });
  }

  #outage(on: boolean): void {
    this.say(`state services ${on ? "out" : "back"}`);
    for (const { state } of this.platform.regions) state.send({ kind: "outage", on });
  }
}
