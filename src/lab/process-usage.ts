/** CPU time, memory and I/O bytes of processes, as Linux counts them (proc(5)). */
import { readFileSync } from "node:fs";

/** Totals of a process since its start, and its current memory. */
export interface Resources {
  cpuS: number;
  residentMb: number;
  /** Bytes of all reads and writes; for a controller, which uses no disk, those of its sockets. */
  bytesIn: number;
  bytesOut: number;
}

/** Clock ticks a second of the times in /proc; the same on all Linux architectures. */
const TICKS_PER_S = 100;
const KB_PER_MB = 1024;
/**
 * Indexes of utime and stime among the fields after the command name in `stat`; the name may
 * contain spaces.
 */
const UTIME_FIELD = 11;
const STIME_FIELD = 12;

const field = (text: string, name: string): number =>
  Number(new RegExp(`^${name}:\\s*(\\d+)`, "m").exec(text)?.[1] ?? 0);

/** Resources of a process, or null if it does not exist. */
export function resourcesOf(pid: number): Resources | null {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return {
      cpuS: (Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD])) / TICKS_PER_S,
      residentMb: field(status, "VmRSS") / KB_PER_MB,
      bytesIn: field(io, "rchar"),
      bytesOut: field(io, "wchar"),
    };
  } catch {
    return null;
  }
}

/**
 * Sums the resources of successive processes of one role: a process may be restarted under a new
 * pid.
 */
export class ProcessUsage {
  #earlier = { cpuS: 0, bytesIn: 0, bytesOut: 0 };
  #last: Resources | null = null;
  #pid: number | null = null;
  /** Largest resident memory sampled, MB. */
  peakMb = 0;

  track(pid: number | undefined): void {
    const { cpuS = 0, bytesIn = 0, bytesOut = 0 } = this.#last ?? {};
    this.#earlier = {
      cpuS: this.#earlier.cpuS + cpuS,
      bytesIn: this.#earlier.bytesIn + bytesIn,
      bytesOut: this.#earlier.bytesOut + bytesOut,
    };
    this.#last = null;
    this.#pid = pid ?? null;
  }

  sample(): Resources {
    const now = this.#pid === null ? null : resourcesOf(this.#pid);
    if (now !== null) this.#last = now;
    const { cpuS = 0, residentMb = 0, bytesIn = 0, bytesOut = 0 } = this.#last ?? {};
    this.peakMb = Math.max(this.peakMb, residentMb);
    return {
      cpuS: this.#earlier.cpuS + cpuS,
      residentMb,
      bytesIn: this.#earlier.bytesIn + bytesIn,
      bytesOut: this.#earlier.bytesOut + bytesOut,
    };
  }
}
