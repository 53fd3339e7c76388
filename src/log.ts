import { pino } from "pino";

export type Log = Pick<pino.Logger, "debug" | "info" | "warn" | "error">;

/** Logs to standard error, synchronously, since the process may be killed at any moment. */
export function openLog(node: string): Log {
  const asked = process.env.LOG_LEVEL ?? "info";
  const level = asked in pino.levels.values || asked === "silent" ? asked : "info";
  return pino(
    { level, base: { node }, timestamp: pino.stdTimeFunctions.epochTime },
    pino.destination({ fd: 2, sync: true }),
  );
}
