/**
 * Suspicion before verdict: how controllers notice that another does not serve, and how its parts
 * go to others before its lease has ended. Switched on by the message `suspicion` in the operators'
 * settings (`deploy/suspicion.textproto`) or by `--suspicion`; `docs/failure.md` says how it works,
 * who notices what how soon, and what its states mean.
 */
import {
  type Attachment,
  type Core,
  controllersWithoutPackage,
  type Extension,
} from "../extension/index.js";
import type { PackageDoor } from "../settings/package-definition.js";
import { FailureDetector } from "./failure-detector.js";
import { parseAccusation } from "./records.js";
import { readTiming, schema, type Timing } from "./settings.js";

export { ailing, fitToAccuse, Lateness, type Own } from "./health.js";
export { Intervals } from "./intervals.js";
export {
  borneOut,
  type Case,
  type Cluster,
  type Ground,
  type Peer,
  patienceMs,
  refuteMs,
  strayQuorum,
  suspicious,
  type Testimony,
  verdict,
} from "./judge.js";
export type { State } from "./peers.js";
export { type Accusation, parseAccusation } from "./records.js";
export { readTiming, type Timing } from "./settings.js";

const NAME = "suspicion";

class Suspicion implements Extension {
  readonly name = NAME;
  readonly teams = [];

  constructor(readonly timing: Timing) {}

  attach(core: Core): Attachment {
    core.store.writable.add(/^w\/a\//, (value) => parseAccusation(value) !== null);
    // One without this package cannot refute, so it is not accused: its lease decides.
    return new FailureDetector(
      core,
      this.timing,
      (name) => !controllersWithoutPackage(NAME, core).includes(name),
    ).attachment;
  }
}

export const door: PackageDoor = {
  schema,
  open: (raw, settings, refuse) => {
    const { lease_s, report_s } = settings.params.workers;
    return new Suspicion(readTiming(raw, { leaseS: lease_s, reportS: report_s }, refuse));
  },
};
