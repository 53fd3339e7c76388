import { type Clock, sleep } from "../clock.js";
import { NoAnswer } from "../http/client.js";
import { Refused, Rejected } from "../state/store.js";

/** How long the service may refuse, or not answer, before it is given up. */
const RETRY_TIMEOUT_MS = 300_000;

/**
 * Asks again while the service refuses or does not answer; whoever changes something this way makes
 * sure that doing it twice does no harm.
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
