/** Time and timers, replaceable by a fake clock in tests. `now` is steady and in milliseconds. */
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

/** Steady clocks of two machines may differ by this ratio (PROTOCOL: 0.05%); doubled to be safe. */
export const DRIFT = 0.001;

export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(ms, resolve);
  });
}
