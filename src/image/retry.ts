import { type Clock, sleep } from "../clock.js";
import { NoAnswer } from "../http/client.js";
import { Refused, Rejected } from "../state/store.js";

/** How long the state service may refuse requests or not answer before an operation fails. */
const RETRY_TIMEOUT_MS = 300_000;

/**
 * Retries an operation while the state service refuses it or does not answer. Operations that write
 * must be idempotent.
 */
export async function retryUnavailable<T>(clock: Clock, run: () => Promise<T>): Promise<T> {
  const until = clock.now() + RETRY_TIMEOUT_MS;
  for (;;) {
    try {
      return await run();
    } catch (error) {
      const retryable = error instanceof Refused || error instanceof NoAnswer;
      if (!retryable || error instanceof Rejected || clock.now() > until) throw error;
      await sleep(clock, 200);
    }
  }
}
