/**
 * HTCondor submit files: read, checked and mapped to jobs on the side of whoever hands them in;
 * matched, held, removed and shown on the side of the controllers. Switched on by the message
 * `submit` in the operators' settings (`deploy/submit.textproto`); `docs/submit.md` says how it
 * works, and what becomes of every command of the file language.
 */
import {
  type Attachment,
  type Core,
  controllersWithoutPackage,
  type Extension,
} from "../extension/index.js";
import type { PackageDoor } from "../settings/package-definition.js";
import { SubmitApi } from "./site/api.js";
import { Book } from "./site/book.js";
import { Desk } from "./site/desk.js";
import { Matcher } from "./site/matcher.js";
import { SubmitMatching } from "./site/matching.js";
import { isCluster, placeOf } from "./site/records.js";
import { readSettings, type SubmitSettings, schema } from "./site/settings.js";
import { Steward } from "./site/steward.js";

export {
  type CommandInfo,
  commandOf,
  commands,
  commandTable,
  type Standing,
} from "./file/commands.js";
export { type Proc, type ReadOptions, readSubmit } from "./file/read.js";
export { type Place, SubmitError } from "./file/text.js";
export { type FileWorld, matchPaths, realWorld } from "./file/world.js";
export {
  bodiesOf,
  type Cluster,
  type PlannedJob,
  type PlanOptions,
  planCluster,
} from "./map/cluster.js";
export { type Plan, SPECIAL } from "./map/job.js";
export { type Analysis, analyze } from "./site/analyze.js";
export { faultOf } from "./site/job-ads.js";
export { Matcher } from "./site/matcher.js";
export { type ClusterRecord, jobId } from "./site/records.js";
export { type MachineRule, readSettings, type SubmitSettings } from "./site/settings.js";
export { gateOf, wishOf } from "./site/steward.js";
export type { Counts, JobView } from "./site/views.js";
export { SubmitClient } from "./user/client.js";
export { type SubmitFileOptions, submitCommands, submitFile } from "./user/commands.js";

const NAME = "submit";

class Submit implements Extension {
  readonly name = NAME;
  readonly teams: Extension["teams"] = [];

  constructor(
    readonly settings: SubmitSettings,
    readonly zones: readonly string[],
  ) {}

  attach(core: Core): Attachment {
    core.store.writable.add(/^w\/x\/c\//, isCluster);
    const book = new Book(core);
    const desk = new Desk(core, book);
    const seconds = (): number => Math.floor(core.clock.wall() / 1000);
    const matcher = new Matcher(this.settings.rules, this.zones, () => core.types(), seconds);
    // A controller without the package leaves such jobs alone, whatever it takes over; but nothing
    // of them would start there.
    const notNow = (): string | null => {
      const [stranger] = controllersWithoutPackage(NAME, core);
      return stranger === undefined ? null : `${stranger} does not match expressions`;
    };
    const api = new SubmitApi(core, this.settings, book, desk, matcher, notNow);
    return {
      find: api.find,
      matcher: new SubmitMatching(core, book, desk, matcher),
      lead: (leading) => new Steward(core, this.settings, book, desk, matcher, leading),
      // Until a cluster is forgotten, it shows how each of its jobs ended. Which clusters there are
      // is not known before all keys have been read.
      needsHeader: (id) => {
        const place = placeOf(id);
        return place !== null && (!core.mirror.ready || book.clusters.has(place.cluster));
      },
      refusalReason: ({ match }) => (match === undefined ? null : notNow()),
      status: () => ({
        submit: { clusters: book.clusters.size, evaluations: matcher.evaluations },
      }),
    };
  }
}

export const door: PackageDoor = {
  schema,
  open: (raw, { params }, refuse) =>
    new Submit(readSettings(raw, params.zones, refuse), params.zones),
};
