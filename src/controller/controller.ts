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
import { DependencyTracker } from "../pipeline/index.js";
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

/** One controller: answers users and workers, owns parts, and may be the leader. */
export class Controller {
  readonly router: Router;
  readonly #settings: Settings;
  readonly #tuning: Tuning;
  readonly #links: Links;
  readonly #core: Core;
  readonly #membership: Membership;
  readonly #metrics: Metrics;
  readonly #jobApi: JobApi;
  readonly #refusals: Refusals;
  readonly #owned: OwnedParts;
  readonly #openJobs: OpenJobs;
  readonly #configuration: ControllerConfiguration;
  readonly #goneMachines: GoneMachines;
  readonly #history: History;
  readonly #attachments: Attachment[];
  readonly #fatal: (why: string) => void;
  readonly #policy: PlacementPolicy | null;
  readonly #placement: PlacementConstraints;
  readonly #pipelines: DependencyTracker;
  #types = new Map<string, MachineType>();
  #fleet: Fleet | null = null;
  #leaderTasks: { stop(): void }[] = [];
  readonly #reachability: ReachabilityMonitor;

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
        () => this.#owned,
      ),
      peers: peersOf(links, clock),
      types: () => this.#types,
      staleness: () => clock.now() - mirror.freshAsOf,
      inspect: (which) => [...this.#owned.parts.values()].map((part) => part.inspect(which)),
      rental: () => this.#fleet?.rentalStatus() ?? null,
    };
    this.#core = core;
    this.#settings = settings;
    this.#tuning = tuning ?? defaultTuning(params.teams);
    this.#links = links;
    this.#metrics = new Metrics(
      clock,
      params.workers.lease_s * 1000,
      () => this.#history.figures(),
      () => this.#configuration.live.effective.revision,
    );
    this.#configuration = new ControllerConfiguration(core, this.#tuning, extensions ?? [], () =>
      this.#openJobs.onGuaranteesChanged(),
    );
    this.#attachments = (extensions ?? []).map((extension) => extension.attach(core));
    this.#policy = this.#attachments.find(({ policy }) => policy !== undefined)?.policy ?? null;
    // Subscribes to the headers first: later subscribers query it about the change just applied.
    this.#pipelines = new DependencyTracker(mirror, links.store, clock, log, reportMs, (id) =>
      this.#jobApi.awaitedOutcome(id),
    );
    this.#placement = new PlacementConstraints(
      this.#attachments.find(({ matcher }) => matcher !== undefined)?.matcher ?? null,
      (id) => this.#pipelines.isBlocked(id),
    );
    this.#openJobs = new OpenJobs(
      () => this.#configuration.live.effective.guarantees,
      targetsOf(params.objectives),
      core.summaries,
      clock,
      reportMs / 4,
      (id, spec) => this.#placement.cannotStart(id, spec),
      this.#pipelines,
    );
    this.#owned = new OwnedParts(
      core,
      () => this.#membership,
      (index, claimVersion, lost) => this.#contextOf(index, claimVersion, lost),
      (part, machine, token, position) => {
        for (const { onMisroutedReport } of this.#attachments)
          onMisroutedReport?.(part, machine, token, position);
      },
      () => this.#metrics.add({ kind: "event", what: "report malformed" }),
      (name) => this.#isSuspected(name),
    );
    const { parts } = this.#owned;
    this.#goneMachines = new GoneMachines(mirror, (machines) => {
      for (const owner of parts.values()) owner.tell({ kind: "gone", machines });
    });
    this.#history = new History(
      core,
      archive ?? null,
      (id) => [...parts.values()].some(({ jobs }) => jobs.has(id)),
      (id) => this.#attachments.some(({ needsHeader }) => needsHeader?.(id) === true),
    );
    this.#refusals = new Refusals(this.#configuration.teams, clock, log, this.#metrics, 60_000);
    this.#jobApi = new JobApi(
      core,
      (team) => this.#configuration.maxUse(team),
      parts,
      this.#attachments,
      this.#placement,
      this.#history,
      this.#refusals,
      (team) => this.#configuration.hasGuarantee(team),
      this.#pipelines,
    );
    for (const fault of teamConfigErrors(params.teams))
      log.warn(fault, "team's guarantee exceeds its limit; the excess cannot be used");
    this.router = routerOf({
      jobApi: this.#jobApi,
      attachments: [this.#configuration, ...this.#attachments],
      noteRequest: () => this.#reachability.noteRequest(),
      health: () => this.#health(),
      metrics: () => this.#showMetrics(),
      status: () => this.status(),
      node: settings.node_name,
      drain: (on) => this.drain(on),
      report: (body) => this.#owned.report(body),
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
        gained: (index, claimVersion) => void this.#owned.onClaimed(index, claimVersion),
        lost: (index, why) => this.#owned.onLost(index, why),
        leading: (claimVersion) => this.#startLeading(claimVersion),
        deposed: () => this.#stopLeading(),
      },
      params.workers.lease_s,
      (extensions ?? []).map(({ name }) => name),
      (name) => this.#isSuspected(name),
    );
    this.#reachability = new ReachabilityMonitor(
      clock,
      params.workers.lease_s * 1000,
      () => this.#membership,
      parts,
      () => this.#fleet !== null,
    );
    this.#followRecords();
  }

  #isSuspected(name: string): boolean {
    return this.#attachments.some(({ isSuspected }) => isSuspected?.(name) === true);
  }

  #followRecords(): void {
    const { mirror, layout, store } = this.#core;
    this.#openJobs.follow(mirror, (id, header) => {
      for (const part of this.#owned.parts.values()) part.tell({ kind: "header", id, header });
    });
    mirror.on(keys.node(""), () => {
      // Controllers that are present use the share of the store's limits that absent ones do not.
      store.divide(layout.members.filter(({ name }) => mirror.rows.has(keys.node(name))).length);
    });
    mirror.on("w/s/", ({ key, value }) => {
      if (isSummary(value)) this.#take(Number(key.slice(4)), value);
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
    this.#configuration.live.start();
    for (const attached of this.#attachments) attached.start?.();
    this.#reachability.start();
  }

  stop(): void {
    this.#reachability.stop();
    this.#core.mirror.stop();
    this.#pipelines.stop();
    this.#configuration.live.stop();
    this.#membership.stop();
    this.#stopLeading();
    for (const attached of this.#attachments) attached.stop?.();
    for (const part of this.#owned.parts.values()) part.tell({ kind: "stop" });
  }

  /** Handles a frame from another controller. */
  hear(frame: Frame, from: string): void {
    for (const { onFrame } of this.#attachments) onFrame?.(from, frame);
    if (frame.kind === "cancelled") this.#owned.onJobCancelled(frame.job, frame.version);
    if (frame.kind === "summary" && isSummary(frame.summary)) this.#take(frame.part, frame.summary);
  }

  #take(part: number, summary: Summary): void {
    this.#core.summaries.offer(part, summary);
    // A newer fencing token than this claim's: another owner took over, not seen by the watch yet.
    const claim = this.#membership.owned.get(part);
    if (claim !== undefined && summary.token > fencingTokenOf(this.#core.mirror, claim)) {
      this.#membership.owned.delete(part);
      this.#owned.onLost(part, "received a summary with a newer fencing token");
    }
  }

  closed(from: string): void {
    for (const { onPeerClosed } of this.#attachments) onPeerClosed?.(from);
  }

  /** Hands all claims over to other controllers and takes none until called with `on` false. */
  drain(on = true): Promise<void> {
    return this.#membership.drain(on);
  }

  #contextOf(index: number, claimVersion: number, lost: (why: string) => void): PartContext {
    const { store, mirror, clock, log, layout, summaries } = this.#core;
    const { params } = this.#settings;
    const token = fencingTokenOf(mirror, claimVersion);
    const { live } = this.#configuration;
    return {
      index,
      token,
      claim: { key: keys.claim(index), version: claimVersion },
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
        return owner !== null && this.#isSuspected(owner);
      },
      get limits() {
        return live.limits;
      },
      configuration: live,
      isBorrower: (team) => live.limits.has(team) && !this.#configuration.hasGuarantee(team),
      policy: this.#policy,
      constraints: this.#placement,
      summaries,
      metrics: this.#metrics,
      targets: this.#openJobs.targets,
      pipelines: this.#pipelines,
      allReadCurrentFormat: () => mirror.ready && allReadCurrentFormat(mirror),
      goneMachines: this.#goneMachines.machines,
      guaranteed: () => this.#openJobs.guaranteed(),
      onTime: () => this.#openJobs.onTime(),
      sendCommands: (address, session, commands) =>
        this.#links.order(address, ordersBody(token, session, commands)),
      publishSummary: (summary) => {
        this.#take(index, summary);
        this.#core.peers.broadcast({ kind: "summary", part: index, summary });
      },
      reportMs: params.workers.report_s * 1000,
      leaseMs: params.workers.lease_s * 1000,
      onClaimLost: lost,
    };
  }

  #startLeading(claimVersion: number): void {
    this.#stopLeading();
    const { store, mirror, clock, log, summaries } = this.#core;
    const { params } = this.#settings;
    const token = fencingTokenOf(mirror, claimVersion);
    const valid = (): boolean =>
      this.#membership.valid() && this.#membership.leaderClaimVersion === claimVersion;
    log.info({ token }, "leading");
    const claim = { key: this.#membership.leaderKey, version: claimVersion };
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
      isPreemptible: (team) => this.#policy?.preemptible(team) === true,
      idleCpusToKeep: () => this.#policy?.idleCpusToKeep() ?? 0,
      capacityRequests: () => this.#policy?.capacityRequests() ?? [],
      jobMatchesOffer: (job, { type, zone, spot }) => {
        const spec = this.#openJobs.open.get(job)?.spec; // For an empty machine of the kind.
        return spec !== undefined && this.#placement.allows(spec, { type: type.name, zone, spot });
      },
      reconcilingRestore: () => restoreStateOf(mirror).state === "settling",
      valid,
    });
    this.#fleet.start();
    for (const { lead } of this.#attachments)
      if (lead !== undefined) this.#leaderTasks.push(lead({ token, claim, valid }));
    this.#leaderTasks.push(this.#history.lead({ token, claim, valid }));
    this.#leaderTasks.push(this.#pipelines.lead({ valid }));
  }

  #stopLeading(): void {
    this.#fleet?.stop();
    this.#fleet = null;
    for (const task of this.#leaderTasks) task.stop();
    this.#leaderTasks = [];
  }

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
    if (text === null) return retryLater(503, "metrics are not available yet", 5);
    const more = this.#attachments.map(({ metrics }) => metrics?.() ?? "").join("");
    return { status: 200, text: text + more };
  }

  /** The body of `/about/status`: the state of the cluster as far as this controller knows it. */
  status(): object {
    const jobsOf = (team: string): number => this.#openJobs.jobCount(team);
    const own = {
      node: this.#settings.node_name,
      leads: this.#fleet !== null,
      ...partAndTeamStatus(this.#core, this.#configuration.live.effective, jobsOf),
      history: this.#history.status(),
      refused: this.#refusals.status(),
    };
    return Object.assign(own, ...this.#attachments.map(({ status }) => status?.() ?? {}));
  }
}
