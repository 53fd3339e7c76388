import { setFlagsFromString } from "node:v8";

/** V8's own `--interrupt-budget`, made for a whole core: bytecodes that a function runs before it is optimised. */
const WHOLE_CORE = 67_584;

/**
 * How much a function has to run before V8's optimising compiler takes it, for a share of a core.
 * One compilation holds everything up for as long as it takes, and on a share of a core so many
 * times longer; so the smaller the share, the later. Too late costs more in the long run: on a
 * quarter of a core, code that stays unoptimised took a sixth more processor time (docs/results.md).
 */
export function optimiseAfter(cores: number): number {
  return Math.round(WHOLE_CORE / Math.min(1, Math.max(cores, 0.01)));
}

/** Tells V8 what the machine is like; functions that run from now on go by it. */
export function tuneFor(cores: number): void {
  setFlagsFromString(`--interrupt-budget=${optimiseAfter(cores)}`);
}
