import type { PackageSchema, RejectSettings } from "../settings/tuning.js";

/** Schema of the message `suspicion` in the operators' settings, explained in `deploy/suspicion.textproto`. */
export const schema: PackageSchema = {
  field: "suspicion",
  number: 102,
  message: "Suspicion",
  schema: `
message Suspicion {
  // All as shares of the workers' lease.
  optional double beat = 1;
  optional double silence = 2;
  optional double closed = 3;
  optional double refute = 4;
  optional double again = 5;
  // How unlikely a silence has to be, as phi.
  optional double phi = 6;
  // Without verdicts others are only suspected: nothing is given to them, their leases decide.
  optional bool verdicts = 7;
}
`,
};

/** Thresholds of the failure detector; all times in milliseconds. */
export interface Timing {
  /** A frame is sent to the other controllers at least this often. */
  heartbeatMs: number;
  /** The shortest silence that raises suspicion, and the longest that phi may require. */
  minSilenceMs: number;
  maxSilenceMs: number;
  /** The shortest silence that raises suspicion if the connection was closed as well. */
  closedSilenceMs: number;
  /** The least time that a suspect has to refute an accusation. */
  minRefutationMs: number;
  /** Time after a refutation before the same controller may be accused again; doubled each time. */
  accusationBackoffMs: number;
  /** Suspicion level (phi accrual) that a silence must reach. */
  phi: number;
  reportIntervalMs: number;
  leaseMs: number;
  verdictsEnabled: boolean;
}

interface RawSettings {
  beat?: number;
  silence?: number;
  closed?: number;
  refute?: number;
  again?: number;
  phi?: number;
  verdicts?: boolean;
}

export function readTiming(
  raw: unknown,
  { leaseS, reportS }: { leaseS: number; reportS: number },
  refuse: RejectSettings,
): Timing {
  const settings = (raw ?? {}) as RawSettings;
  const leaseMs = leaseS * 1000;
  const leaseShareMs = (name: keyof RawSettings, fallback: number, most: number): number => {
    const value = (settings[name] as number | undefined) ?? fallback;
    if (!(value > 0 && value <= most)) refuse(`${name}: above 0, at most ${most}`, name);
    return value * leaseMs;
  };
  const phi = settings.phi ?? 4;
  if (!(phi >= 1 && phi <= 20)) refuse("phi: from 1 to 20", "phi");
  const beatMs = leaseShareMs("beat", 1 / 24, 1 / 4);
  const silenceMs = leaseShareMs("silence", 1 / 12, 1 / 2);
  if (silenceMs < beatMs * 1.5) refuse("silence: at least one and a half times beat", "silence");
  return {
    heartbeatMs: beatMs,
    minSilenceMs: silenceMs,
    maxSilenceMs: silenceMs * 2,
    closedSilenceMs: leaseShareMs("closed", 1 / 24, 1 / 2),
    minRefutationMs: leaseShareMs("refute", 1 / 12, 1),
    accusationBackoffMs: leaseShareMs("again", 1 / 2, 100),
    phi,
    reportIntervalMs: reportS * 1000,
    leaseMs,
    verdictsEnabled: settings.verdicts ?? true,
  };
}
