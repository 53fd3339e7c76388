/**
 * One reading for many askers. Whoever asks while a reading is on its way gets the next one: that
 * one begins after they asked, so it shows everything that anybody was told before.
 */
export class Shared<T> {
  readonly #running = new Map<string, { next: Promise<T> | null }>();

  run(name: string, read: () => Promise<T>): Promise<T> {
    const running = this.#running.get(name);
    if (running === undefined) return this.#start(name, read);
    running.next ??= new Promise<T>((resolve, reject) => {
      this.#after(name, () => this.#start(name, read).then(resolve, reject));
    });
    return running.next;
  }

  readonly #queued = new Map<string, () => void>();

  #after(name: string, run: () => void): void {
    this.#queued.set(name, run);
  }

  async #start(name: string, read: () => Promise<T>): Promise<T> {
    this.#running.set(name, { next: null });
    try {
      return await read();
    } finally {
      this.#running.delete(name);
      const next = this.#queued.get(name);
      this.#queued.delete(name);
      next?.();
    }
  }
}
