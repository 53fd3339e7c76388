import { setFlagsFromString } from "node:v8";

/**
 * V8's default `--interrupt-budget`, meant for a whole core: size of the bytecode that a function
 * runs before it is optimised.
 */
const WHOLE_CORE_INTERRUPT_BUDGET = 67_584;

/**
 * The interrupt budget for a share of a core: the smaller the share, the later functions are
 * optimised. One compilation stalls the process, and on a share of a core it takes so many times
 * longer. Optimising too late costs more in the long run: on a quarter of a core, unoptimised code
 * took a sixth more processor time (docs/results.md).
 */
export function interruptBudget(cores: number): number {
  return Math.round(WHOLE_CORE_INTERRUPT_BUDGET / Math.min(1, Math.max(cores, 0.01)));
}

/** Sets V8's interrupt budget for the machine; applies to functions that run from now on. */
export function tuneV8(cores: number): void {
  setFlagsFromString(`--interrupt-budget=${interruptBudget(cores)}`);
}
