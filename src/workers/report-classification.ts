/** The order of a worker's reports: the one with the larger (session, sequence) is newer. */
export interface ReportPosition {
  session: number;
  seq: number;
}

export const isNewerReport = (a: ReportPosition, b: ReportPosition): boolean =>
  a.session > b.session || (a.session === b.session && a.seq > b.seq);

/** What the owner of a part knows of a machine when it receives a report from it. */
export interface MachineReportState {
  /** The newest report that was used for anything, under any token; null if there is none. */
  latestReport: ReportPosition | null;
  /** Whether the worker has reported under our fencing token. */
  hasOurToken: boolean;
  lastSeen: number;
}

export interface ReportTiming {
  leaseMs: number;
  reportMs: number;
}

/**
 * What a report may be used for. Which fields decide that is defined only here:
 *
 * | use | decided by |
 * | --- | --- |
 * | any use at all | (session, sequence): the report is newer than all before it; a copy, however late, is not |
 * | type, zone, spot flag, address, termination notice, the machine exists | the same, under any token up to ours |
 * | which tasks are on the machine, proved gone, done or failed | also our own token: only then can no start of an earlier owner be in flight |
 * | tasks may be placed on the machine | it receives our answers: it took our token, or this is the very next report |
 * | this controller serves its workers | the very next report of the same session, so soon that the worker must have had our answer |
 * | tasks may not be placed on it any more | the report follows a gap that only missing answers explain |
 *
 * That we answered a report proves nothing: the answer may be lost (an unreachable machine, or a
 * controller whose answers are lost).
 */
export type ReportClass =
  /** The worker has seen a later owner's token; an answer of ours would keep it reporting here. */
  | { kind: "foreign" }
  /** A copy, or delayed until after a newer report: it is ignored. */
  | { kind: "old" }
  /** The worker does not have our token yet: the answer passes it on; the task list is no proof. */
  | { kind: "unaware" }
  /**
   * The task list is proof. `hears`: the worker received an answer of ours; `misses`: it has not
   * received one for long.
   */
  | { kind: "proof"; hears: boolean; misses: boolean };

/** A worker abandons a report after this time without an answer (PROTOCOL, "Workers"). */
export const REPORT_TIMEOUT_MS = 4000;

export function classifyReport(
  report: ReportPosition & { token: number },
  state: MachineReportState,
  token: number,
  now: number,
  { leaseMs, reportMs }: ReportTiming,
): ReportClass {
  if (report.token > token) return { kind: "foreign" };
  const { latestReport: latest, hasOurToken } = state;
  if (latest !== null && !isNewerReport(report, latest)) return { kind: "old" };
  if (report.token < token) return { kind: "unaware" };
  // The worker can have our token only from an answer of ours.
  if (!hasOurToken || latest === null) return { kind: "proof", hears: true, misses: false };
  const gapMs = now - state.lastSeen;
  const isNextReport = report.session === latest.session && report.seq === latest.seq + 1;
  const hears = isNextReport && gapMs < Math.max(REPORT_TIMEOUT_MS, 1.5 * reportMs);
  // A worker whose report was refused once tries again within seconds. After half a lease, or in a
  // new session, it has received no answer for longer than that, whatever the cause.
  const misses = !hears && (report.session !== latest.session || gapMs > leaseMs / 2);
  return { kind: "proof", hears, misses };
}
