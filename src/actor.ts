/**
 * An actor owns its state, which changes only in response to messages sent with `tell`. Messages
 * are handled one after another, so no handler sees state that another handler has changed only in
 * part.
 */
export abstract class Actor<M> {
  readonly #queue: M[] = [];
  #busy = false;
  #stopped = false;

  tell(message: M): void {
    if (this.#stopped) return;
    this.#queue.push(message);
    if (this.#busy) return;
    this.#busy = true;
    try {
      for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
        this.receive(next);
      }
    } finally {
      this.#busy = false;
    }
  }

  get stopped(): boolean {
    return this.#stopped;
  }

  protected halt(): void {
    this.#stopped = true;
    this.#queue.length = 0;
  }

  protected abstract receive(message: M): void;
}
