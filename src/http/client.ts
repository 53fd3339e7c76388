import { Agent, request } from "node:http";
import { type Clock, systemClock } from "../clock.js";
import { decode, encode } from "../wire/cbor.js";

export interface Answer {
  status: number;
  body: unknown;
  /** What `Retry-After` says, if it is there. */
  retryAfterS?: number;
}

/** No answer came: the request may have been executed, or may still be executed later. */
export class NoAnswer extends Error {}

/** What can be asked something; throws NoAnswer when nothing comes back in time. */
export interface Caller {
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<Answer>;
}

const MAX_ANSWER = 64 * 1024 * 1024;

/** Requests to one address, each with a deadline of its own. */
export class HttpClient implements Caller {
  readonly #agent: Agent;
  readonly #host: string;
  readonly #port: number;

  constructor(
    address: string,
    sockets: number | Agent,
    readonly clock: Clock = systemClock,
  ) {
    const colon = address.lastIndexOf(":");
    this.#host = address.slice(0, colon);
    this.#port = Number(address.slice(colon + 1));
    this.#agent =
      typeof sockets === "number"
        ? new Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets })
        : sockets;
  }

  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const payload = body === undefined ? undefined : encode(body);
      const req = request({
        agent: this.#agent,
        host: this.#host,
        port: this.#port,
        method,
        path,
        headers:
          payload === undefined
            ? {}
            : { "content-type": "application/cbor", "content-length": payload.length },
      });
      const deadline = this.clock.after(timeoutMs, () => fail("no answer in time"));
      const fail = (why: string): void => {
        deadline.cancel();
        req.destroy();
        reject(new NoAnswer(`${method} ${path}: ${why}`));
      };
      req.on("error", (error) => fail(error.message));
      req.on("response", (res) => {
        const chunks: Buffer[] = [];
        let size = 0;
        res.on("data", (chunk: Buffer) => {
          size += chunk.length;
          if (size > MAX_ANSWER) fail("answer too large");
          else chunks.push(chunk);
        });
        res.on("error", (error) => fail(error.message));
        res.on("aborted", () => fail("cut off"));
        res.on("end", () => {
          deadline.cancel();
          const status = res.statusCode ?? 0;
          const wait = Number(res.headers["retry-after"] ?? Number.NaN);
          const retryAfterS = Number.isFinite(wait) ? wait : undefined;
          if (size === 0) return resolve({ status, body: undefined, retryAfterS });
          try {
            resolve({
              status,
              retryAfterS,
              body: decode(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)),
            });
          } catch {
            // An error page that is not CBOR still says something through its status.
            if (status >= 400) resolve({ status, body: undefined, retryAfterS });
            else fail("answer is not CBOR");
          }
        });
      });
      req.end(payload);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}
