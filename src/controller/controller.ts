import { Fleet } from "../cloud/fleet.js";
import type { Attachment, Core, PlacementPolicy } from "../extension/index.js";
import { ShareTree } from "../fair/share.js";
import { type Reply, type Router, retryLater } from "../http/server.js";
import { targetsOf } from "../jobs/due-time.js";
import { Layout } from "../membership/layout.js";
import { Membership } from "../membership/membership.js";
import { allReadCurrentFormat } from "../membership/presence.js";
import { Metrics } from "../metrics.js";
import type { PartContext } from "../part/part.js";
import { restoreReconciliationMs } from "../part/restore-reconciliation.js";
import { isSummary, Summaries, type Summary } from "../part/summary.js";
import type { Frame } from "../peer/frames.js";
import { Pipelines } from "../pipeline/index.js";
import { teamConfigErrors } from "../quota/limits.js";
import { clusterOf, type Settings } from "../settings/settings.js";
import { defaultTuning, type Tuning } from "../settings/tuning.js";
import { keys } from "../state/keys.js";
import { Mirror } from "../state/mirror.js";
import { fencingTokenOf, restoreStateOf } from "../state/restore-state.js";
import { schemaIncompatibility, schemaOf } from "../state/schema.js";
import type { MachineType } from "../wire/cloud.js";
import { ordersBody } from "../wire/workers.js";
import { PlacementConstraints } from "../workers/placement-constraints.js";
import { ControllerConfiguration } from "./controller-configuration.js";
import { GoneMachines } from "./gone-machines.js";
import { History } from "./history.js";
import { JobApi } from "./job-api.js";
import { OpenJobs } from "./open-jobs.js";
import type { ControllerOptions, Links } from "./options.js";
import { OwnedParts } from "./owned-parts.js";
import { claimsOf, peersOf } from "./package-access.js";
import { ReachabilityMonitor } from "./reachability.js";
import { Refusals } from "./refusals.js";
import { routerOf } from "./routes.js";
import { partAndTeamStatus } from "./status.js";

/** One controller: answers users and workers, owns parts, and leads when it is its turn. */
export class Controller {
  readonly router: Router;
  readonly #settings: Settings;
  readonly #tuning: Tuning;
  readonly #links: Links;
  readonly #core: Core;
  readonly #membership: Membership;
  readonly #metrics: Metrics;
  readonly #users: JobApi;
  readonly #refusals: Refusals;
  readonly #owners: OwnedParts;
  readonly #standing: OpenJobs;
  readonly #configured: ControllerConfiguration;
  readonly #gone: GoneMachines;
  readonly #history: History;
  readonly #attached: Attachment[];
  readonly #fatal: (why: string) => void;
  readonly #rules: PlacementPolicy | null;
  readonly #places: PlacementConstraints;
  readonly #pipelines: Pipelines;
  #types = new Map<string, MachineType>();
  #fleet: Fleet | null = null;
  #led: { stop(): void }[] = [];
  readonly #reach: ReachabilityMonitor;

  constructor(options: ControllerOptions) {
    const { settings, tuning, extensions, archive, log, clock, links, run } = options;
    this.#fatal = options.fatal ?? (() => undefined);
    const { params } = settings;
    const reportMs = params.workers.report_s * 1000;
    const mirror = new Mirror(links.store, clock, log, reportMs / 2);
    const core: Core = {
      settings,
      log,
      clock,
      store: links.store,
      mirror,
      layout: new Layout(clusterOf(settings)),
      summaries: new Summaries(),
      claims: claimsOf(
        run,
        () => this.#membership,
        () => this.#owners,
      ),
      peers: peersOf(links, clock),
      types: () => this.#types,
      staleness: () => clock.now() - mirror.freshAsOf,
      inspect: (which) => [...this.#owners.parts.values()].map((part) => part.inspect(which)),
      rental: () => this.#fleet?.standing() ?? null,
    };
    this.#core = core;
    this.#settings = settings;
    this.#tuning = tuning ?? defaultTuning(params.teams);
    this.#links = links;
    this.#metrics = new Metrics(
      clock,
      params.workers.lease_s * 1000,
      () => this.#history.figures(),
      () => this.#configured.live.effective.revision,
    );
    this.#configured = new ControllerConfiguration(core, this.#tuning, extensions ?? [], () =>
      this.#standing.reconfigured(),
    );
    this.#attached = (extensions ?? []).map((extension) => extension.attach(core));
    this.#rules = this.#attached.find(({ policy: rules }) => rules !== undefined)?.policy ?? null;
    // Before all others that follow the headers: they ask it about what they have just heard.
    this.#pipelines = new Pipelines(mirror, links.store, clock, log, reportMs, (id) =>
      this.#users.ended(id),
    );
    this.#places = new PlacementConstraints(
      this.#attached.find(({ matcher: matching }) => matching !== undefined)?.matcher ?? null,
      (id) => this.#pipelines.waits(id),
    );
    this.#standing = new OpenJobs(
      () => this.#configured.live.effective.guarantees,
      targetsOf(params.objectives),
      core.summaries,
      clock,
      reportMs / 4,
      (id, spec) => this.#places.cannotStart(id, spec),
      this.#pipelines,
    );
    this.#owners = new OwnedParts(
      core,
      () => this.#membership,
      (index, stamp, lost) => this.#contextOf(index, stamp, lost),
      (part, machine, token, mark) => {
        for (const { onMisroutedReport: strayed } of this.#attached)
          strayed?.(part, machine, token, mark);
      },
      () => this.#metrics.add({ kind: "event", what: "report malformed" }),
      (name) => this.#doubted(name),
    );
    const { parts } = this.#owners;
    this.#gone = new GoneMachines(mirror, (machines) => {
      for (const owner of parts.values()) owner.tell({ kind: "gone", machines });
    });
    this.#history = new History(
      core,
      archive ?? null,
      (id) => [...parts.values()].some(({ jobs }) => jobs.has(id)),
      (id) => this.#attached.some(({ needsHeader: wants }) => wants?.(id) === true),
    );
    this.#refusals = new Refusals(this.#configured.teams, clock, log, this.#metrics, 60_000);
    this.#users = new JobApi(
      core,
      (team) => this.#configured.most(team),
      parts,
      this.#attached,
      this.#places,
      this.#history,
      this.#refusals,
      (team) => this.#configured.guaranteed(team),
      this.#pipelines,
    );
    for (const fault of teamConfigErrors(params.teams))
      log.warn(fault, "a team cannot use what it has");
    this.router = routerOf({
      users: this.#users,
      attached: [this.#configured, ...this.#attached],
      asked: () => this.#reach.asked(),
      health: () => this.#health(),
      metrics: () => this.#showMetrics(),
      status: () => this.status(),
      node: settings.node_name,
      drain: (on) => this.drain(on),
      report: (body) => this.#owners.report(body),
    });
    this.#membership = new Membership(
      settings.node_name,
      run,
      core.layout,
      links.store,
      mirror,
      clock,
      log,
      {
        gained: (index, stamp) => void this.#owners.gained(index, stamp),
        lost: (index, why) => this.#owners.lost(index, why),
        leading: (stamp) => this.#lead(stamp),
        deposed: () => this.#depose(),
      },
      params.workers.lease_s,
      (extensions ?? []).map(({ name }) => name),
      (name) => this.#doubted(name),
    );
    this.#reach = new ReachabilityMonitor(
      clock,
      params.workers.lease_s * 1000,
      () => this.#membership,
      parts,
      () => this.#fleet !== null,
    );
    this.#follow();
  }

  /** Whether some package has doubts that another controller serves. */
  #doubted(name: string): boolean {
    return this.#attached.some(({ isSuspected: doubts }) => doubts?.(name) === true);
  }

  #follow(): void {
    const { mirror, layout, store } = this.#core;
    this.#standing.follow(mirror, (id, header) => {
      for (const owner of this.#owners.parts.values()) owner.tell({ kind: "header", id, header });
    });
    mirror.on(keys.node(""), () => {
      // Survivors may use what the others do not.
      store.divide(layout.members.filter(({ name }) => mirror.rows.has(keys.node(name))).length);
    });
    mirror.on("w/s/", ({ key, value }) => {
      if (isSummary(value)) this.#hear(Number(key.slice(4)), value);
    });
    for (const key of [keys.types, keys.types2]) {
      mirror.on(key, ({ value }) => {
        if (!Array.isArray(value)) return;
        this.#types = new Map((value as MachineType[]).map((type) => [type.name, type]));
      });
    }
    mirror.on(keys.schema, () => {
      const why = schemaIncompatibility(schemaOf(mirror));
      if (why === null) return;
      this.stop();
      this.#fatal(why);
    });
  }

  start(): void {
    void this.#core.mirror.run();
    this.#membership.start();
    this.#configured.live.start();
    for (const attached of this.#attached) attached.start?.();
    this.#reach.start();
  }

  stop(): void {
    this.#reach.stop();
    this.#core.mirror.stop();
    this.#pipelines.stop();
    this.#configured.live.stop();
    this.#membership.stop();
    this.#depose();
    for (const attached of this.#attached) attached.stop?.();
    for (const part of this.#owners.parts.values()) part.tell({ kind: "stop" });
  }

  /** Something that another controller sent. */
  hear(frame: Frame, from: string): void {
    for (const { onFrame: hears } of this.#attached) hears?.(from, frame);
    if (frame.kind === "cancelled") this.#owners.calledOff(frame.job, frame.version);
    if (frame.kind === "summary" && isSummary(frame.summary)) this.#hear(frame.part, frame.summary);
  }

  #hear(part: number, summary: Summary): void {
    this.#core.summaries.offer(part, summary);
    // Its owner speaks with a newer token than ours: we have been replaced, and out of touch.
    const stamp = this.#membership.owned.get(part);
    if (stamp !== undefined && summary.token > fencingTokenOf(this.#core.mirror, stamp)) {
      this.#membership.owned.delete(part);
      this.#owners.lost(part, "another owner speaks");
    }
  }

  closed(from: string): void {
    for (const { onPeerClosed: closed } of this.#attached) closed?.(from);
  }

  /** Gives all that it owns to others and takes nothing any more, until `on` is false. */
  drain(on = true): Promise<void> {
    return this.#membership.drain(on);
  }

  // ---- parts and leadership --------------------------------------------------------------

  #contextOf(index: number, stamp: number, lost: (why: string) => void): PartContext {
    const { store, mirror, clock, log, layout, summaries } = this.#core;
    const { params } = this.#settings;
    const token = fencingTokenOf(mirror, stamp);
    const { live } = this.#configured;
    return {
      index,
      token,
      claim: { key: keys.claim(index), version: stamp },
      restoreReconciliationMs: restoreReconciliationMs(params.workers),
      reconcilingRestore: () => restoreStateOf(mirror).state === "settling",
      store,
      mirror,
      clock,
      log,
      valid: () => this.#membership.valid(),
      types: () => this.#types,
      newShareTree: () => new ShareTree(live.effective.groups),
      ...this.#tuning.preemption,
      parts: layout.parts,
      partsOf: (zone) => layout.partsOf(zone),
      ownerSuspected: (part) => {
        const owner = this.#membership.ownerOf(part);
        return owner !== null && this.#doubted(owner);
      },
      get limits() {
        return live.limits;
      },
      configuration: live,
      isBorrower: (team) => live.limits.has(team) && !this.#configured.guaranteed(team),
      policy: this.#rules,
      constraints: this.#places,
      summaries,
      metrics: this.#metrics,
      targets: this.#standing.targets,
      pipelines: this.#pipelines,
      allReadCurrentFormat: () => mirror.ready && allReadCurrentFormat(mirror),
      goneMachines: this.#gone.machines,
      guaranteed: () => this.#standing.guaranteed(),
      onTime: () => this.#standing.onTime(),
      sendCommands: (address, session, commands) =>
        this.#links.order(address, ordersBody(token, session, commands)),
      publishSummary: (summary) => {
        this.#hear(index, summary);
        this.#core.peers.broadcast({ kind: "summary", part: index, summary });
      },
      reportMs: params.workers.report_s * 1000,
      leaseMs: params.workers.lease_s * 1000,
      onClaimLost: lost,
    };
  }

  #lead(stamp: number): void {
    this.#depose();
    const { store, mirror, clock, log, summaries } = this.#core;
    const { params } = this.#settings;
    const token = fencingTokenOf(mirror, stamp);
    const valid = (): boolean =>
      this.#membership.valid() && this.#membership.leaderClaimVersion === stamp;
    log.info({ token }, "leading");
    const claim = { key: this.#membership.leaderKey, version: stamp };
    this.#fleet = new Fleet({
      token,
      claim,
      summaries,
      cloud: this.#links.cloud,
      store,
      mirror,
      clock,
      log,
      rps: params.cloud.rps,
      listLagMs: params.cloud.list_lag_s * 1000,
      leaseMs: params.workers.lease_s * 1000,
      ...this.#tuning.rental,
      yields: (team) => this.#rules?.preemptible(team) === true,
      kept: () => this.#rules?.idleCpusToKeep() ?? 0,
      wanted: () => this.#rules?.capacityRequests() ?? [],
      // Whether a machine that could be rented would do for a job, empty as it comes.
      suits: (job, { type, zone, spot }) => {
        const spec = this.#standing.open.get(job)?.spec;
        return spec !== undefined && this.#places.allows(spec, { type: type.name, zone, spot });
      },
      settling: () => restoreStateOf(mirror).state === "settling",
      valid,
    });
    this.#fleet.start();
    for (const { lead } of this.#attached)
      if (lead !== undefined) this.#led.push(lead({ token, claim, valid }));
    this.#led.push(this.#history.lead({ token, claim, valid }));
    this.#led.push(this.#pipelines.lead({ valid }));
  }

  #depose(): void {
    this.#fleet?.stop();
    this.#fleet = null;
    for (const led of this.#led) led.stop();
    this.#led = [];
  }

  // ---- requests --------------------------------------------------------------------------

  #health(): Reply {
    const leaseMs = this.#settings.params.workers.lease_s * 1000;
    const fresh = this.#core.staleness() < leaseMs / 2;
    const { state } = restoreStateOf(this.#core.mirror);
    const usable = state === "none" || state === "settled";
    if (this.#types.size > 0 && fresh && usable) return { status: 200, body: { ok: true } };
    return retryLater(503, "not ready");
  }

  async #showMetrics(): Promise<Reply> {
    const text = await this.#metrics.text();
    if (text === null) return retryLater(503, "not loaded yet", 5);
    const more = this.#attached.map(({ metrics }) => metrics?.() ?? "").join("");
    return { status: 200, text: text + more };
  }

  /** How things stand, as far as this controller knows; for people, and for whoever must be fair. */
  status(): object {
    const jobsOf = (team: string): number => this.#standing.jobsOf(team);
    const own = {
      node: this.#settings.node_name,
      leads: this.#fleet !== null,
      ...partAndTeamStatus(this.#core, this.#configured.live.effective, jobsOf),
      history: this.#history.status(),
      refused: this.#refusals.status(),
    };
    return Object.assign(own, ...this.#attached.map(({ status }) => status?.() ?? {}));
  }
}
