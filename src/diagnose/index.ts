/**
 * Says why: `birchdale why JOB` and `birchdale diagnose` ask the controllers, and a watch logs work
 * within guarantees that does not move. Switched on by the message `diagnose` in the operators'
 * settings (`deploy/diagnose.textproto`); `docs/diagnose.md` is the page for people on call.
 */
import type { Attachment, Core, Extension } from "../extension/index.js";
import type { Route } from "../http/server.js";
import { isHeader, partChar } from "../jobs/job-header.js";
import type { PackageDoor } from "../settings/package-definition.js";
import { keys } from "../state/keys.js";
import { isJobId } from "../wire/jobs.js";
import type { View } from "./obstacles.js";
import { Watch } from "./watch.js";

export { diagnoseCommands } from "./command.js";
export { explain, type Kind, type Obstacle, type View, whyWaiting } from "./obstacles.js";
export { Watch } from "./watch.js";
export { lineFor, MEANING, overview } from "./words.js";

/** The part behind a header's character for an owner; null for a chunk that has finished. */
const partOf = (owner: string, parts: number): number | null => {
  for (let part = 0; part < parts; part++) if (partChar(part) === owner) return part;
  return null;
};

/** What this controller can say, about one job or about all work that stands still. */
export function viewOf(core: Core, id: string | null, stuckMs: number): View {
  const { mirror, layout, claims, settings } = core;
  const value = id === null ? undefined : mirror.rows.get(keys.job(id))?.value;
  const header = value !== undefined && isHeader(value) ? value : null;
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
            parts: [...header.owners].map((owner) => partOf(owner, layout.parts)),
          },
    parts,
    rental,
  };
}

class Diagnose implements Extension {
  readonly name = "diagnose";
  readonly teams = [];

  constructor(readonly stuckMs: number) {}

  attach(core: Core): Attachment {
    const watch = new Watch(core, this.stuckMs);
    const all: Route = {
      method: "GET",
      run: () => ({ status: 200, body: viewOf(core, null, this.stuckMs) }),
    };
    const one: Route = {
      method: "GET",
      run: ({ params: [id = ""] }) =>
        isJobId(id)
          ? { status: 200, body: viewOf(core, id, this.stuckMs) }
          : { status: 404, body: { error: "no job has such an id" } },
    };
    return {
      start: () => watch.start(),
      stop: () => watch.stop(),
      find: (path) => {
        if (path === "/about/diagnose") return { routes: [all], params: [] };
        const match = /^\/about\/why\/([^/]+)$/.exec(path);
        return match === null ? null : { routes: [one], params: [match[1]!] };
      },
      metrics: () => watch.metrics(),
    };
  }
}

export const door: PackageDoor = {
  schema: {
    field: "diagnose",
    number: 103,
    message: "Diagnose",
    schema: `
message Diagnose {
  // After how many leases work within a guarantee that has not moved is said to stand still.
  optional double stuck = 1;
}
`,
  },
  open: (raw, settings, refuse) => {
    const { stuck = 2 } = (raw ?? {}) as { stuck?: number };
    if (!(stuck >= 0.5 && stuck <= 100)) refuse("stuck: from 0.5 to 100", "stuck");
    return new Diagnose(stuck * settings.params.workers.lease_s * 1000);
  },
};
