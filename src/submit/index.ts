/**
 * HTCondor submit files. The client reads them, checks them and maps them to jobs; the controllers
 * match, hold, remove and show these. Enabled by the message `submit` in the operators' settings
 * (`deploy/submit.textproto`). `docs/submit.md` describes the package and every command of the
 * file language.
 */
import {
  type Attachment,
  type Core,
  controllersWithoutPackage,
  type Extension,
} from "../extension/index.js";
import type { PackageDefinition } from "../settings/package-definition.js";
import { SubmitApi } from "./site/api.js";
import { ClusterIndex } from "./site/cluster-index.js";
import { ClusterReconciler } from "./site/cluster-reconciler.js";
import { ClusterStore } from "./site/cluster-store.js";
import { SubmitJobMatcher } from "./site/job-matcher.js";
import { Matcher } from "./site/matcher.js";
import { isClusterRecord, parseJobId } from "./site/records.js";
import { readSettings, type SubmitSettings, schema } from "./site/settings.js";

export {
  type CommandInfo,
  type CommandSupport,
  commandOf,
  commands,
  commandTable,
} from "./file/commands.js";
export { type HostEnvironment, localHost, matchPaths } from "./file/host-environment.js";
export { type Proc, type ReadOptions, readSubmit } from "./file/read.js";
export { type Place, SubmitError } from "./file/text.js";
export {
  type PlannedCluster,
  type PlannedJob,
  type PlanOptions,
  planCluster,
  submissionBodies,
} from "./map/cluster.js";
export { type Plan, SPECIAL_ATTRIBUTES } from "./map/job.js";
export { type Analysis, analyze } from "./site/analyze.js";
export { requestedAction, startLimit } from "./site/cluster-reconciler.js";
export { matchError } from "./site/job-ads.js";
export { Matcher } from "./site/matcher.js";
export { type ClusterRecord, jobId } from "./site/records.js";
export { type MachineRule, readSettings, type SubmitSettings } from "./site/settings.js";
export type { JobView, ProcCounts } from "./site/views.js";
export { SubmitClient } from "./user/client.js";
export { type SubmitFileOptions, submitCommands, submitFile } from "./user/commands.js";

const PACKAGE_NAME = "submit";

class Submit implements Extension {
  readonly name = PACKAGE_NAME;
  readonly teams: Extension["teams"] = [];

  constructor(
    readonly settings: SubmitSettings,
    readonly zones: readonly string[],
  ) {}

  attach(core: Core): Attachment {
    core.store.writable.add(/^w\/x\/c\//, isClusterRecord);
    const clusterIndex = new ClusterIndex(core);
    const clusterStore = new ClusterStore(core, clusterIndex);
    const nowS = (): number => Math.floor(core.clock.wall() / 1000);
    const matcher = new Matcher(this.settings.rules, this.zones, () => core.types(), nowS);
    // A controller without the package does not touch such jobs in the parts it takes over, but it
    // would not start them either.
    const unavailableReason = (): string | null => {
      const [controller] = controllersWithoutPackage(PACKAGE_NAME, core);
      return controller === undefined ? null : `${controller} does not match expressions`;
    };
    const api = new SubmitApi(
      core,
      this.settings,
      clusterIndex,
      clusterStore,
      matcher,
      unavailableReason,
    );
    return {
      find: api.find,
      matcher: new SubmitJobMatcher(core, clusterIndex, clusterStore, matcher),
      lead: (term) =>
        new ClusterReconciler(core, this.settings, clusterIndex, clusterStore, matcher, term),
      // Headers are kept until the cluster's record is deleted, since its history shows how each
      // job ended. Which clusters exist is not known before all keys have been read.
      needsHeader: (id) => {
        const jobRef = parseJobId(id);
        return jobRef !== null && (!core.mirror.ready || clusterIndex.clusters.has(jobRef.cluster));
      },
      refusalReason: ({ match }) => (match === undefined ? null : unavailableReason()),
      status: () => ({
        submit: { clusters: clusterIndex.clusters.size, evaluations: matcher.evaluations },
      }),
    };
  }
}

export const door: PackageDefinition = {
  schema,
  createExtension: (raw, { params }, refuse) =>
    new Submit(readSettings(raw, params.zones, refuse), params.zones),
};
