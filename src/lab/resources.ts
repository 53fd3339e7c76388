/** Processor time, memory and bytes of processes, as Linux counts them (proc(5)). */
import { readFileSync } from "node:fs";

/** Of one process since it began; memory now. */
export interface Resources {
  cpuS: number;
  residentMb: number;
  /** Bytes of all reads and writes: for a controller, which has no disk, those of its sockets. */
  bytesIn: number;
  bytesOut: number;
}

/** Ticks a second of the times in /proc; fixed for all architectures of Linux. */
const TICKS_PER_S = 100;
const KB_PER_MB = 1024;
/** Places of utime and stime behind the name in `stat`, which may itself contain spaces. */
const USER_TIME = 11;
const SYSTEM_TIME = 12;

const field = (text: string, name: string): number =>
  Number(new RegExp(`^${name}:\\s*(\\d+)`, "m").exec(text)?.[1] ?? 0);

/** Null when the process is gone. */
export function resourcesOf(pid: number): Resources | null {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return {
      cpuS: (Number(fields[USER_TIME]) + Number(fields[SYSTEM_TIME])) / TICKS_PER_S,
      residentMb: field(status, "VmRSS") / KB_PER_MB,
      bytesIn: field(io, "rchar"),
      bytesOut: field(io, "wchar"),
    };
  } catch {
    return null;
  }
}

/** Follows one role's process, which may be started anew. */
export class ProcessUse {
  #before = { cpuS: 0, bytesIn: 0, bytesOut: 0 };
  #last: Resources | null = null;
  #pid: number | null = null;
  /** The most memory seen, MB. */
  peakMb = 0;

  follow(pid: number | undefined): void {
    const { cpuS = 0, bytesIn = 0, bytesOut = 0 } = this.#last ?? {};
    this.#before = {
      cpuS: this.#before.cpuS + cpuS,
      bytesIn: this.#before.bytesIn + bytesIn,
      bytesOut: this.#before.bytesOut + bytesOut,
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
      cpuS: this.#before.cpuS + cpuS,
      residentMb,
      bytesIn: this.#before.bytesIn + bytesIn,
      bytesOut: this.#before.bytesOut + bytesOut,
    };
  }
}
