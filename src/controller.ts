import { type Clock, sleep } from "./clock.js";
import { Fleet } from "./cloud/fleet.js";
import { type Amounts, minus, Tree, within } from "./fair/share.js";
import { type Due, timely } from "./fair/timely.js";
import type { Caller } from "./http/client.js";
import { type Reply, type Route, type Router, retryLater } from "./http/server.js";
import { dueOf, type Targets, targetsOf } from "./jobs/due.js";
import {
  chunkSizeFor,
  chunksLeft,
  type Header,
  isHeader,
  partChar,
  shownStatus,
  undivided,
} from "./jobs/header.js";
import type { Log } from "./log.js";
import { Layout } from "./membership/layout.js";
import { Membership } from "./membership/membership.js";
import { Metrics } from "./metrics.js";
import { Part } from "./part/part.js";
import { isSummary, roomOf, Summaries, type Summary } from "./part/summary.js";
import type { Frame } from "./peer/frames.js";
import { clusterOf, type Settings } from "./settings/settings.js";
import { defaultTuning, type Tuning } from "./settings/tuning.js";
import { keys } from "./state/keys.js";
import { Mirror } from "./state/mirror.js";
import { Refused, type Store } from "./state/store.js";
import type { MachineType } from "./wire/cloud.js";
import { isJobId, type JobSpec, parseSubmission, statusBody, statusPath } from "./wire/jobs.js";
import { ordersBody, parseReport, redirectAnswer } from "./wire/workers.js";
import { allowed, typeFits } from "./workers/machine.js";

/** How a controller reaches the rest of the world. Tests have stand-ins for all of it. */
export interface Links {
  store: Store;
  cloud: Caller;
  /** Sends a body to a worker's orders; nobody waits for the answer. */
  order(address: string, body: object): void;
  /** Tells the other controllers something that they may or may not hear. */
  broadcast(frame: Frame): void;
}

export interface ControllerOptions {
  settings: Settings;
  /** Without it, every team has weight 1. */
  tuning?: Tuning;
  log: Log;
  clock: Clock;
  links: Links;
  /** Tells this run of the process from earlier ones. */
  run: string;
}

/** One controller: answers users and workers, owns parts, and leads when it is its turn. */
export class Controller {
  readonly router: Router;
  readonly #settings: Settings;
  readonly #tuning: Tuning;
  readonly #log: Log;
  readonly #clock: Clock;
  readonly #links: Links;
  readonly #layout: Layout;
  readonly #store: Store;
  readonly #mirror: Mirror;
  readonly #membership: Membership;
  readonly #summaries = new Summaries();
  readonly #metrics: Metrics;
  readonly #parts = new Map<number, Part>();
  readonly #limits: Map<string, Amounts>;
  readonly #guarantees: Map<string, Amounts>;
  readonly #targets: Targets;
  readonly #openJobs = new Map<string, Header>();
  /** Those of them that are within their team's guarantee; null when it has to be found anew. */
  #inside: Set<string> | null = null;
  #inTime = new Set<string>();
  #inTimeAt = Number.NEGATIVE_INFINITY;
  readonly #gone = new Set<string>();
  #types = new Map<string, MachineType>();
  #fleet: Fleet | null = null;
  /** When anyone outside last asked us anything: the load balancer does so every second. */
  #askedAt: number | null = null;
  #watchedAt = 0;
  #stopped = false;

  constructor({ settings, tuning, log, clock, links, run }: ControllerOptions) {
    this.#settings = settings;
    this.#tuning = tuning ?? defaultTuning(settings.params.teams);
    this.#log = log;
    this.#clock = clock;
    this.#links = links;
    this.#store = links.store;
    const { params } = settings;
    this.#layout = new Layout(clusterOf(settings));
    this.router = this.#routes();
    this.#metrics = new Metrics(clock, params.workers.lease_s * 1000);
    this.#targets = targetsOf(params.objectives);
    this.#guarantees = new Map(
      params.teams.map((team) => [team.name, { cpus: team.cpus, gpus: team.gpus }]),
    );
    this.#mirror = new Mirror(this.#store, clock, log, params.workers.report_s * 500);
    this.#limits = new Map(
      params.teams.map((team) => [team.name, { cpus: team.cpus_max, gpus: team.gpus_max }]),
    );
    this.#membership = new Membership(
      settings.node_name,
      run,
      this.#layout,
      this.#store,
      this.#mirror,
      clock,
      log,
      {
        gained: (index, token) => void this.#gained(index, token),
        lost: (index, why) => this.#lost(index, why),
        leading: (token) => this.#lead(token),
        deposed: () => this.#depose(),
      },
      params.workers.lease_s,
    );
    this.#mirror.on("w/j/", ({ key, value }) => {
      if (!isHeader(value)) return;
      const id = key.slice(4);
      if (value.status !== "open") {
        if (this.#openJobs.delete(id)) this.#inside = null;
      } else {
        if (!this.#openJobs.has(id)) this.#inside = null;
        this.#openJobs.set(id, value);
      }
      for (const owner of this.#parts.values()) {
        owner.tell({ kind: "header", id, header: value });
      }
    });
    this.#mirror.on(keys.node(""), () => {
      // Survivors may use what the others do not.
      let serving = 0;
      for (const { name } of this.#layout.members) {
        if (this.#mirror.rows.has(keys.node(name))) serving++;
      }
      this.#store.divide(serving);
    });
    this.#mirror.on("w/g/", ({ value }) => {
      if (!Array.isArray(value)) return;
      const machines = value.map(String);
      for (const machine of machines) this.#gone.add(machine);
      for (const owner of this.#parts.values()) owner.tell({ kind: "gone", machines });
    });
    this.#mirror.on("w/s/", ({ key, value }) => {
      if (isSummary(value)) this.#hear(Number(key.slice(4)), value);
    });
    this.#mirror.on(keys.types, ({ value }) => {
      if (!Array.isArray(value)) return;
      this.#types = new Map((value as MachineType[]).map((type) => [type.name, type]));
    });
  }

  start(): void {
    void this.#mirror.run();
    this.#membership.start();
    this.#watchReach();
  }

  stop(): void {
    this.#stopped = true;
    this.#mirror.stop();
    this.#membership.stop();
    this.#fleet?.stop();
    for (const part of this.#parts.values()) part.tell({ kind: "stop" });
  }

  /** Something that another controller sent. */
  hear(frame: Frame): void {
    if (frame.kind === "summary") this.#hear(frame.part, frame.summary);
  }

  #hear(part: number, summary: Summary): void {
    this.#summaries.offer(part, summary);
    // Its owner speaks with a newer token than ours: we have been replaced, and out of touch.
    const token = this.#membership.owned.get(part);
    if (token !== undefined && summary.token > token) {
      this.#membership.owned.delete(part);
      this.#lost(part, "another owner speaks");
    }
  }

  /** Steps back while those outside do not reach us, though the state service does. */
  #watchReach(): void {
    const leaseMs = this.#settings.params.workers.lease_s * 1000;
    const everyMs = leaseMs / 24;
    const now = this.#clock.now();
    // When this process itself was held up, nobody else is to blame for the silence.
    const late = now - this.#watchedAt > everyMs * 3;
    this.#watchedAt = now;
    if (!late && this.#membership.valid()) {
      const deaf = this.#askedAt !== null && now - this.#askedAt > leaseMs / 3;
      const parts = [...this.#parts.keys()].filter((i) => deaf || this.#parts.get(i)!.cutOff());
      if (parts.length > 0 || (deaf && this.#fleet !== null)) {
        this.#membership
          .stepBack(parts, deaf ? leaseMs / 2 : leaseMs * 4, "machines do not reach us")
          .catch(() => undefined);
      }
    }
    if (!this.#stopped) this.#clock.after(everyMs, () => this.#watchReach());
  }

  // ---- parts and leadership --------------------------------------------------------------

  async #gained(index: number, token: number): Promise<void> {
    const { params } = this.#settings;
    const held = (): boolean => this.#membership.owned.get(index) === token;
    this.#log.info({ part: index, token }, "part claimed");
    while (held()) {
      try {
        const { rows } = await this.#store.list(keys.records(index));
        await this.#mirror.reached(token);
        if (!held()) return;
        const part = new Part(
          {
            index,
            token,
            store: this.#store,
            mirror: this.#mirror,
            clock: this.#clock,
            log: this.#log,
            valid: () => this.#membership.valid(),
            types: () => this.#types,
            newTree: () => new Tree(this.#tuning.groups),
            ...this.#tuning.preemption,
            parts: this.#layout.parts,
            partsOf: (zone) => this.#layout.partsOf(zone),
            limits: this.#limits,
            summaries: this.#summaries,
            metrics: this.#metrics,
            targets: this.#targets,
            gone: this.#gone,
            guaranteed: () => this.#guaranteed(),
            timely: () => this.#timely(),
            order: (address, session, commands) =>
              this.#links.order(address, ordersBody(token, session, commands)),
            announce: (summary) => {
              this.#hear(index, summary);
              this.#links.broadcast({ kind: "summary", part: index, summary });
            },
            reportMs: params.workers.report_s * 1000,
            leaseMs: params.workers.lease_s * 1000,
            lost: (why) => {
              if (held()) {
                this.#membership.owned.delete(index);
                this.#lost(index, why);
              }
            },
          },
          rows,
        );
        this.#parts.set(index, part);
        return;
      } catch (error) {
        this.#log.debug({ part: index, why: String(error) }, "part not loaded yet");
        await sleep(this.#clock, (params.workers.report_s * 1000) / 8);
      }
    }
  }

  #lost(index: number, why: string): void {
    this.#log.info({ part: index, why }, "part given up");
    this.#parts.get(index)?.tell({ kind: "stop" });
    this.#parts.delete(index);
  }

  #lead(token: number): void {
    this.#depose();
    const { params } = this.#settings;
    this.#log.info({ token }, "leading");
    this.#fleet = new Fleet({
      token,
      summaries: this.#summaries,
      cloud: this.#links.cloud,
      store: this.#store,
      mirror: this.#mirror,
      clock: this.#clock,
      log: this.#log,
      rps: params.cloud.rps,
      listLagMs: params.cloud.list_lag_s * 1000,
      leaseMs: params.workers.lease_s * 1000,
      ...this.#tuning.rental,
      valid: () => this.#membership.valid() && this.#membership.leaderToken === token,
    });
    this.#fleet.start();
  }

  #depose(): void {
    this.#fleet?.stop();
    this.#fleet = null;
  }

  /**
   * Jobs within their team's guarantee: they fit into it together with the team's earlier
   * unfinished jobs, wherever those run. Such jobs should not have to wait for other teams.
   */
  #guaranteed(): ReadonlySet<string> {
    if (this.#inside !== null) return this.#inside;
    this.#inside = new Set();
    const left = new Map(this.#guarantees);
    for (const [id, { spec }] of [...this.#openJobs].sort(([, a], [, b]) => a.at - b.at)) {
      const rest = spec === undefined ? undefined : left.get(spec.team);
      if (spec === undefined || rest === undefined) continue;
      const size = { cpus: spec.cpus * spec.tasks, gpus: spec.gpus * spec.tasks };
      if (within(size, rest)) this.#inside.add(id);
      left.set(spec.team, minus(rest, size));
    }
    return this.#inside;
  }

  /** Jobs that are to be in time, with the CPUs that their teams have now or are guaranteed. */
  #timely(): ReadonlySet<string> {
    const now = this.#clock.now();
    if (now - this.#inTimeAt < this.#settings.params.workers.report_s * 250) return this.#inTime;
    this.#inTimeAt = now;
    const wall = this.#clock.wall();
    const jobs = new Map<string, Due[]>();
    for (const [id, { spec, at, owners, chunkSize }] of this.#openJobs) {
      if (spec === undefined) continue;
      const left = Math.min(spec.tasks, chunksLeft(owners) * chunkSize);
      const due: Due = {
        id,
        rank: spec.rank,
        leftS: (dueOf(spec, at, this.#targets) - wall) / 1000,
        taskS: spec.estimateS,
        work: left * spec.cpus * spec.estimateS,
      };
      const list = jobs.get(spec.team);
      if (list === undefined) jobs.set(spec.team, [due]);
      else list.push(due);
    }
    this.#inTime = new Set();
    for (const [team, list] of jobs) {
      let cpus = 0;
      for (const [, { use }] of this.#summaries.all()) cpus += use[team]?.[0] ?? 0;
      const most = Math.max(1, cpus, this.#guarantees.get(team)?.cpus ?? 0);
      for (const id of timely(list, most)) this.#inTime.add(id);
    }
    return this.#inTime;
  }

  // ---- requests --------------------------------------------------------------------------

  #routes(): Router {
    const fixed = new Map<string, Route[]>([
      ["/healthz", [{ method: "GET", run: () => this.#health() }]],
      ["/metrics", [{ method: "GET", run: () => this.#showMetrics() }]],
      [statusPath, [{ method: "GET", run: () => ({ status: 200, body: this.status() }) }]],
      ["/checkin", [{ method: "POST", run: ({ body }) => this.#report(body) }]],
      ["/api/jobs", [{ method: "POST", run: ({ body }) => this.#submit(body) }]],
    ]);
    const show: Route[] = [{ method: "GET", run: ({ params }) => this.#show(params[0]!) }];
    const cancel: Route[] = [{ method: "POST", run: ({ params }) => this.#cancel(params[0]!) }];
    return {
      find: (path) => {
        this.#askedAt = this.#clock.now();
        const routes = fixed.get(path);
        if (routes !== undefined) return { routes, params: [] };
        const match = /^\/api\/jobs\/([^/]+)(\/withdraw)?$/.exec(path);
        if (match === null) return null;
        return { routes: match[2] === undefined ? show : cancel, params: [match[1]!] };
      },
    };
  }

  #contactAge(): number {
    return this.#clock.now() - this.#mirror.contactAt;
  }

  #health(): Reply {
    const fresh = this.#contactAge() < (this.#settings.params.workers.lease_s * 1000) / 2;
    if (this.#types.size > 0 && fresh) return { status: 200, body: { ok: true } };
    return retryLater(503, "not ready");
  }

  async #showMetrics(): Promise<Reply> {
    const text = await this.#metrics.text();
    return text === null ? retryLater(503, "not loaded yet", 5) : { status: 200, text };
  }

  /** How things stand, as far as this controller knows; for people, and for whoever must be fair. */
  status(): object {
    const tree = new Tree(this.#tuning.groups);
    const parts = this.#layout.members.map((_, part) => {
      const summary = this.#summaries.of(part);
      for (const [team, [cpus, gpus]] of Object.entries(summary?.use ?? {})) {
        tree.charge(team, { cpus, gpus });
      }
      return {
        part,
        owner: this.#membership.ownerOf(part),
        token: summary?.token ?? null,
        waitingCpus: summary?.waiting ?? 0,
        machines: summary?.machines.length ?? 0,
        kinds: summary?.kinds ?? [],
      };
    });
    const teams = [...this.#limits].map(([name, limit]) => ({
      name,
      use: tree.use(name),
      guarantee: this.#guarantees.get(name),
      limit,
      share: tree.share(name),
      jobs: [...this.#openJobs.values()].filter(({ spec }) => spec?.team === name).length,
    }));
    return { node: this.#settings.node_name, leads: this.#fleet !== null, teams, parts };
  }

  #report(body: unknown): Reply | Promise<Reply> {
    const parsed = parseReport(body);
    if (!parsed.ok) return { status: 400, body: { error: parsed.reason } };
    const report = parsed.value;
    const index = this.#layout.partOf(report.machine, report.zone);
    const part = this.#parts.get(index);
    if (part === undefined) {
      const owner = this.#membership.ownerOf(index);
      if (owner === null || owner === this.#settings.node_name || !this.#mirror.ready) {
        return retryLater(503, "part has no owner yet");
      }
      return { status: 421, body: redirectAnswer(owner) };
    }
    // A job may be cancelled elsewhere without us hearing of it. Its tasks are gone in time only
    // if the workers' leases end before that: so we stop answering early enough.
    const { lease_s, cancel_s } = this.#settings.params.workers;
    if (this.#contactAge() > (cancel_s - lease_s * 1.15) * 1000) {
      return retryLater(503, "out of touch");
    }
    // Most reports are answered at once.
    let answer: Reply | null = null;
    let later: ((reply: Reply) => void) | null = null;
    const reply = (given: Reply): void => {
      if (later === null) answer = given;
      else later(given);
    };
    part.tell({ kind: "report", report, reply });
    return (
      answer ??
      new Promise((resolve) => {
        later = resolve;
      })
    );
  }

  #known(id: string): Header | null {
    const row = this.#mirror.rows.get(keys.job(id));
    return row !== undefined && isHeader(row.value) ? row.value : null;
  }

  /** The newest state of a job. Final states are safe to remember; others are read anew. */
  async #current(id: string): Promise<{ header: Header; version: number } | null> {
    const known = this.#mirror.rows.get(keys.job(id));
    if (known !== undefined && isHeader(known.value) && known.value.status !== "open") {
      return { header: known.value, version: known.version };
    }
    const row = await this.#store.get(keys.job(id));
    if (row === null) return null;
    if (!isHeader(row.value)) throw new Error(`job ${id}: not a header`);
    this.#mirror.apply({ ...row, deleted: false });
    return { header: row.value, version: row.version };
  }

  #unavailable(error: unknown): Reply {
    this.#log.debug({ why: String(error) }, "store not available");
    return retryLater(503, "state service not available", error instanceof Refused ? 2 : 1);
  }

  async #submit(body: unknown): Promise<Reply> {
    const parsed = parseSubmission(body);
    if (!parsed.ok) return { status: 400, body: { error: parsed.reason } };
    const { id, spec } = parsed.value;
    try {
      if (this.#known(id) === null) {
        if (this.#types.size === 0) return retryLater(503, "machine types not known yet");
        const never = this.#neverRuns(spec);
        if (never !== null) {
          // Only a job that was never accepted may be refused.
          const known = await this.#current(id);
          if (known === null) return { status: 422, body: { error: never } };
        } else {
          // Users are few and come first; what the service refuses is answered with 503.
          this.#store.writes.force(1);
          const header = this.#newHeader(spec);
          const result = await this.#store.transact(
            [{ key: keys.job(id), version: 0 }],
            [{ put: keys.job(id), value: header }],
          );
          if (result.ok) {
            this.#log.debug({ job: id, owners: header.owners }, "job accepted");
            this.#mirror.apply({
              key: keys.job(id),
              value: header,
              version: result.revision,
              deleted: false,
            });
            return { status: 201, body: statusBody(id, "pending") };
          }
        }
      }
      const known = await this.#current(id);
      if (known === null) return retryLater(503, "try again");
      return { status: 200, body: statusBody(id, shownStatus(known.header)) };
    } catch (error) {
      return this.#unavailable(error);
    }
  }

  #neverRuns(spec: JobSpec): string | null {
    const limit = this.#limits.get(spec.team);
    if (limit === undefined) return "unknown team";
    if (![...this.#types.values()].some((type) => typeFits(spec, type))) {
      return "a task fits no allowed machine type";
    }
    const times = spec.kind === "array" ? 1 : spec.tasks;
    if (!within({ cpus: spec.cpus * times, gpus: spec.gpus * times }, limit)) {
      return "more than the team's limit";
    }
    return null;
  }

  /** Splits a job's tasks between the parts, by the room they have. */
  #newHeader(spec: JobSpec): Header {
    const { parts } = this.#layout;
    const chunkSize = chunkSizeFor(spec.tasks, parts, this.#store.limits.valueBytes);
    const count = Math.ceil(spec.tasks / chunkSize);
    const room = Array.from({ length: parts }, (_, part) => {
      const summary = this.#summaries.of(part);
      if (summary === undefined) return 0;
      return roomOf(summary.kinds, (kind) => allowed(spec, kind)).free - summary.waiting;
    });
    let owners = "";
    const eligible = spec.zone === null ? [...room.keys()] : this.#layout.partsOf(spec.zone);
    let pinned: number | null = null;
    for (let i = 0; i < count; i++) {
      let best = eligible[0]!;
      for (const part of eligible) if (room[part]! > room[best]!) best = part;
      // Gangs and zone rules concern all tasks of a job at once, so one part has all of them.
      if (undivided(spec)) {
        pinned ??= best;
        best = pinned;
      }
      room[best]! -= chunkSize * spec.cpus;
      owners += partChar(best);
    }
    return {
      status: "open",
      spec,
      owners,
      chunkSize,
      at: Math.round(this.#clock.wall()),
      started: false,
      moves: 0,
      tasks: spec.tasks,
    };
  }

  async #show(id: string): Promise<Reply> {
    if (!isJobId(id)) return { status: 404, body: { error: "no such job" } };
    try {
      const known = await this.#current(id);
      if (known === null) return { status: 404, body: { error: "no such job" } };
      return {
        status: 200,
        body: statusBody(id, shownStatus(known.header), this.#counts(id, known.header)),
      };
    } catch (error) {
      return this.#unavailable(error);
    }
  }

  /** For display: what the finished chunks and our own parts say. */
  #counts(id: string, header: Header): { done: number; running: number } {
    if (header.status === "done") return { done: header.tasks, running: 0 };
    let done = 0;
    let running = 0;
    for (let i = 0; i < header.owners.length; i++) {
      if (header.owners[i] !== "x") continue;
      done += Math.min(header.chunkSize, header.tasks - i * header.chunkSize);
    }
    for (const part of this.#parts.values()) {
      for (const chunk of part.jobs.get(id)?.chunks.values() ?? []) {
        if (header.owners[chunk.index] !== "x") done += chunk.doneCount;
        for (const live of chunk.live.values()) if (live.running) running++;
      }
    }
    return { done, running };
  }

  async #cancel(id: string): Promise<Reply> {
    if (!isJobId(id)) return { status: 404, body: { error: "no such job" } };
    try {
      for (let attempt = 0; attempt < 4; attempt++) {
        const known = await this.#current(id);
        if (known === null) return { status: 404, body: { error: "no such job" } };
        const { header, version } = known;
        if (header.status !== "open") {
          return { status: 200, body: statusBody(id, header.status) };
        }
        this.#store.writes.force(2);
        const next: Header = { ...header, status: "cancelled" };
        const result = await this.#store.transact(
          [{ key: keys.job(id), version }],
          [
            { put: keys.job(id), value: next },
            // Placements that do not know of it yet depend on this key's former version.
            { put: keys.cancels, value: id },
          ],
        );
        if (result.ok) {
          this.#mirror.apply({
            key: keys.job(id),
            value: next,
            version: result.revision,
            deleted: false,
          });
          this.#log.info({ job: id }, "job cancelled");
          return { status: 200, body: statusBody(id, "cancelled") };
        }
      }
      return retryLater(503, "try again");
    } catch (error) {
      return this.#unavailable(error);
    }
  }
}
