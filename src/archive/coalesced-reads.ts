/**
 * Shares one read between concurrent callers. A caller that arrives while a read is in flight gets
 * the result of the next read: it begins after the call, so it shows everything that was reported to
 * anyone before the call.
 */
export class CoalescedReads<T> {
  readonly #running = new Map<string, { next: Promise<T> | null }>();

  run(name: string, read: () => Promise<T>): Promise<T> {
    const running = this.#running.get(name);
    if (running === undefined) return this.#start(name, read);
    running.next ??= new Promise<T>((resolve, reject) => {
      this.#startAfter(name, () => this.#start(name, read).then(resolve, reject));
    });
    return running.next;
  }

  readonly #queued = new Map<string, () => void>();

  #startAfter(name: string, run: () => void): void {
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
