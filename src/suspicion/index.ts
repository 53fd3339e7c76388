/**
 * Failure detection between controllers: notices that another controller has failed and moves its
 * parts to others before its lease expires. A suspicion must be confirmed by others before it leads
 * to a verdict. Enabled by the message `suspicion` in the operators' settings
 * (`deploy/suspicion.textproto`) or by `--suspicion`; `docs/failure.md` describes how it works, its
 * detection times, and the meaning of its states.
 */
import {
  type Attachment,
  type Core,
  controllersWithoutPackage,
  type Extension,
} from "../extension/index.js";
import type { PackageDefinition } from "../settings/package-definition.js";
import { FailureDetector } from "./failure-detector.js";
import { parseAccusation } from "./records.js";
import { readTiming, schema, type Timing } from "./settings.js";

export {
  type ClusterView,
  corroboration,
  decideVerdict,
  type Ground,
  misroutedQuorum,
  type PeerObservation,
  type PeerView,
  refutationTimeMs,
  silenceTimeoutMs,
  suspicionGround,
  type VerdictInput,
} from "./failure-decisions.js";
export { FrameIntervals } from "./frame-intervals.js";
export {
  canAccuse,
  type LocalHealth,
  localHealthScore,
  WorstTimerDelay,
} from "./local-health.js";
export type { PeerStatus } from "./peer-state.js";
export { type Accusation, parseAccusation } from "./records.js";
export { readTiming, type Timing } from "./settings.js";

const NAME = "suspicion";

class Suspicion implements Extension {
  readonly name = NAME;
  readonly teams = [];

  constructor(readonly timing: Timing) {}

  attach(core: Core): Attachment {
    core.store.writable.add(/^w\/a\//, (value) => parseAccusation(value) !== null);
    // A controller without this package cannot refute, so it is never accused: its lease must expire.
    return new FailureDetector(
      core,
      this.timing,
      (name) => !controllersWithoutPackage(NAME, core).includes(name),
    ).attachment;
  }
}

export const door: PackageDefinition = {
  schema,
  createExtension: (raw, settings, refuse) => {
    const { lease_s, report_s } = settings.params.workers;
    return new Suspicion(readTiming(raw, { leaseS: lease_s, reportS: report_s }, refuse));
  },
};
