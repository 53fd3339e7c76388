/**
 * Explains why jobs do not progress: `birchdale why JOB` and `birchdale diagnose` query the
 * controllers, and a periodic check logs stuck jobs within a guarantee. Enabled by the message
 * `diagnose` in the operators' settings (`deploy/diagnose.textproto`); `docs/diagnose.md` is the
 * on-call guide.
 */
import type { Attachment, Core, Extension } from "../extension/index.js";
import type { Route } from "../http/server.js";
import { isJobHeader, partChar } from "../jobs/job-header.js";
import type { PackageDefinition } from "../settings/package-definition.js";
import { keys } from "../state/keys.js";
import { isJobId } from "../wire/jobs.js";
import type { ControllerView } from "./obstacles.js";
import { StuckJobWatch } from "./stuck-job-watch.js";

export { diagnoseCommands } from "./command.js";
export {
  type ControllerView,
  explainJob,
  type Obstacle,
  type ObstacleKind,
  waitReason,
} from "./obstacles.js";
export { StuckJobWatch } from "./stuck-job-watch.js";
export {
  formatObstacle,
  formatOverview,
  REMEDIES,
} from "./text-output.js";

/** The part that an owner character of a job header stands for; null for a finished chunk. */
const partOfOwnerChar = (owner: string, parts: number): number | null => {
  for (let part = 0; part < parts; part++) if (partChar(part) === owner) return part;
  return null;
};

/** What this controller knows of one job or, when `id` is null, of all stuck jobs. */
export function buildView(core: Core, id: string | null, stuckMs: number): ControllerView {
  const { mirror, layout, claims, settings } = core;
  const value = id === null ? undefined : mirror.rows.get(keys.job(id))?.value;
  const header = value !== undefined && isJobHeader(value) ? value : null;
  const parts = core.inspect(id === null ? { stuckMs } : { id });
  const rental = core.rental();
  return {
    node: settings.node_name,
    contactS: Math.round(core.staleness() / 100) / 10,
    valid: claims.valid(),
    ready: mirror.ready,
    leads: rental !== null,
    owners: Array.from({ length: layout.parts }, (_, part) => claims.ownerOf(part)),
    job:
      header === null
        ? null
        : {
            status: header.status,
            tasks: header.tasks,
            parts: [...header.owners].map((owner) => partOfOwnerChar(owner, layout.parts)),
          },
    parts,
    rental,
  };
}

class DiagnoseExtension implements Extension {
  readonly name = "diagnose";
  readonly teams = [];

  constructor(readonly stuckMs: number) {}

  attach(core: Core): Attachment {
    const stuckJobWatch = new StuckJobWatch(core, this.stuckMs);
    const clusterRoute: Route = {
      method: "GET",
      run: () => ({ status: 200, body: buildView(core, null, this.stuckMs) }),
    };
    const jobRoute: Route = {
      method: "GET",
      run: ({ params: [id = ""] }) =>
        isJobId(id)
          ? { status: 200, body: buildView(core, id, this.stuckMs) }
          : { status: 404, body: { error: "not a valid job id" } },
    };
    return {
      start: () => stuckJobWatch.start(),
      stop: () => stuckJobWatch.stop(),
      find: (path) => {
        if (path === "/about/diagnose") return { routes: [clusterRoute], params: [] };
        const match = /^\/about\/why\/([^/]+)$/.exec(path);
        return match === null ? null : { routes: [jobRoute], params: [match[1]!] };
      },
      metrics: () => stuckJobWatch.metrics(),
    };
  }
}

export const door: PackageDefinition = {
  schema: {
    field: "diagnose",
    number: 103,
    message: "Diagnose",
    schema: `
message Diagnose {
  // A job within a guarantee that makes no progress for this many worker leases is stuck.
  optional double stuck = 1;
}
`,
  },
  createExtension: (raw, settings, refuse) => {
    const { stuck = 2 } = (raw ?? {}) as { stuck?: number };
    if (!(stuck >= 0.5 && stuck <= 100)) refuse("stuck: must be from 0.5 to 100", "stuck");
    return new DiagnoseExtension(stuck * settings.params.workers.lease_s * 1000);
  },
};
