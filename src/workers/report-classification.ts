/** Where a report stands among a worker's messages: the larger (session, sequence) is the newer one. */
export interface ReportPosition {
  session: number;
  seq: number;
}

export const isNewerReport = (a: ReportPosition, b: ReportPosition): boolean =>
  a.session > b.session || (a.session === b.session && a.seq > b.seq);

/** What an owner knows of a machine when a report of its comes. */
export interface MachineReportState {
  /** The newest report that was taken for anything, under whatever token; null: none yet. */
  latest: ReportPosition | null;
  /** Whether a report has come under our own token. */
  hasOurToken: boolean;
  lastSeen: number;
}

export interface Times {
  leaseMs: number;
  reportMs: number;
}

/**
 * What a report may be used for. This is the one place that says which field decides:
 *
 * | use | decided by |
 * | --- | --- |
 * | whether anything of it counts | (session, sequence): only what is newer than all before; a copy, however late, is not |
 * | type, zone, kind, address, notice, that the machine is there | the same, under any token up to ours |
 * | which tasks are there, proved gone, done or failed | our own token as well: only then is no start of an earlier owner on its way |
 * | that its room may be used | that it hears: it took our token, or stayed with the very next report |
 * | that this controller serves | the very next report of the same session, soon enough to have needed our answer |
 * | that its room may not be used any more | it comes after a gap that only missing answers make |
 *
 * That a report was answered says nothing: answers may not get through (a machine that is deaf, a
 * controller whose answers are lost).
 */
export type ReportClass =
  /** Its worker has seen a later owner's token: an answer of ours would hold it here. */
  | { kind: "foreign" }
  /** A copy, or held back and overtaken: nothing in it counts. */
  | { kind: "old" }
  /** It has not heard of us: the answer gives it our token, and its tasks prove nothing. */
  | { kind: "unaware" }
  /** Its list is proof. `hears`: it took an answer of ours; `misses`: it did not for long. */
  | { kind: "proof"; hears: boolean; misses: boolean };

/** A worker gives a report up after this time without an answer (PROTOCOL, "Workers"). */
export const REPORT_TIMEOUT_MS = 4000;

export function classifyReport(
  report: ReportPosition & { token: number },
  known: MachineReportState,
  token: number,
  now: number,
  { leaseMs, reportMs }: Times,
): ReportClass {
  if (report.token > token) return { kind: "foreign" };
  const { latest, hasOurToken: current } = known;
  if (latest !== null && !isNewerReport(report, latest)) return { kind: "old" };
  if (report.token < token) return { kind: "unaware" };
  // Nobody but us gives it our token.
  if (!current || latest === null) return { kind: "proof", hears: true, misses: false };
  const gapMs = now - known.lastSeen;
  const next = report.session === latest.session && report.seq === latest.seq + 1;
  const hears = next && gapMs < Math.max(REPORT_TIMEOUT_MS, 1.5 * reportMs);
  // One that was turned away for a moment comes back within seconds. After half a lease, or in a
  // new session, it had not heard us for longer than that, whoever's fault it was.
  const misses = !hears && (report.session !== latest.session || gapMs > leaseMs / 2);
  return { kind: "proof", hears, misses };
}
