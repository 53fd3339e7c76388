import { Agent, request } from "node:http";
import { type Clock, systemClock } from "../clock.js";
import { decode, encode } from "../wire/cbor.js";

export interface Answer {
  status: number;
  body: unknown;
  /** The `Retry-After` header in seconds, if present. */
  retryAfterS?: number;
}

/** An answer whose body is not decoded. */
interface RawAnswer {
  status: number;
  retryAfterS?: number;
  bytes: Buffer;
}

/** No answer came: the request may have been executed, or may still be executed later. */
export class NoAnswer extends Error {}

/** Sends requests. @throws NoAnswer when no answer arrives before the deadline */
export interface Caller {
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<Answer>;
}

const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** Sends requests to one address, each with its own deadline. */
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

  async call(method: string, path: string, body: unknown, timeoutMs: number): Promise<Answer> {
    const { status, retryAfterS, bytes } = await this.#exchange(method, path, body, timeoutMs);
    if (bytes.length === 0) return { status, body: undefined, retryAfterS };
    try {
      return { status, retryAfterS, body: decode(bytes) };
    } catch {
      // The status of an error page is used even if its body is not CBOR.
      if (status >= 400) return { status, body: undefined, retryAfterS };
      throw new NoAnswer(`${method} ${path}: answer is not CBOR`);
    }
  }

  /** Reads plain text, such as `/metrics`. @throws NoAnswer, also for any status but 200 */
  async text(path: string, timeoutMs: number): Promise<string> {
    const { status, bytes } = await this.#exchange("GET", path, undefined, timeoutMs);
    if (status !== 200) throw new NoAnswer(`GET ${path}: status ${status}`);
    return bytes.toString("utf8");
  }

  #exchange(method: string, path: string, body: unknown, timeoutMs: number): Promise<RawAnswer> {
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
      const deadline = this.clock.after(timeoutMs, () => fail("no answer before the deadline"));
      const fail = (reason: string): void => {
        deadline.cancel();
        req.destroy();
        reject(new NoAnswer(`${method} ${path}: ${reason}`));
      };
      req.on("error", (error) => fail(error.message));
      req.on("response", (res) => {
        const chunks: Buffer[] = [];
        let size = 0;
        res.on("data", (chunk: Buffer) => {
          size += chunk.length;
          if (size > MAX_ANSWER_BYTES) fail("answer is larger than 64 MiB");
          else chunks.push(chunk);
        });
        res.on("error", (error) => fail(error.message));
        res.on("aborted", () => fail("connection closed before the end of the answer"));
        res.on("end", () => {
          deadline.cancel();
          const status = res.statusCode ?? 0;
          const retryAfter = Number(res.headers["retry-after"] ?? Number.NaN);
          const retryAfterS = Number.isFinite(retryAfter) ? retryAfter : undefined;
          const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
          resolve({ status, retryAfterS, bytes });
        });
      });
      req.end(payload);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}
