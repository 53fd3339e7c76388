/** Time and timers, replaceable by a fake clock in tests. `now` is monotonic, in milliseconds. */
export interface Clock {
  now(): number;
  /** Time of day in milliseconds; only for display and for ordering jobs by age. */
  wall(): number;
  after(ms: number, run: () => void): Timer;
}

export interface Timer {
  cancel(): void;
}

export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, run) {
    const handle = setTimeout(run, Math.max(0, ms));
    return { cancel: () => clearTimeout(handle) };
  },
};

/**
 * Largest assumed rate difference of two machines' monotonic clocks: twice the 0.05% of PROTOCOL.
 */
export const MAX_CLOCK_DRIFT_RATIO = 0.001;

export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}
