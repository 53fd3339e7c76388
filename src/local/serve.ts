import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { decode, encode } from "../wire/cbor.js";

export interface Asked {
  method: string;
  path: string;
  query: URLSearchParams;
  body: unknown;
}

export interface Given {
  status: number;
  body?: unknown;
  retryAfterS?: number;
}

/** What answers; null: the connection ends without an answer, as if it had been cut. */
export type Answerer = (asked: Asked) => Given | null | Promise<Given | null>;

const LIMIT = 64 * 1024;

/** One stand-in on a port of loopback that the system chooses. */
export class Service {
  readonly #server: Server;
  address = "";

  constructor(
    answer: Answerer,
    /** How long each answer takes at the least, milliseconds. */
    latencyMs: () => number = () => 0,
  ) {
    this.#server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      let size = 0;
      req.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size <= LIMIT) chunks.push(chunk);
      });
      req.on("error", () => res.destroy());
      req.on("end", async () => {
        const url = new URL(req.url ?? "/", "http://stand-in");
        let given: Given | null;
        try {
          if (size > LIMIT) given = { status: 413 };
          else {
            const body = size === 0 ? undefined : decode(Buffer.concat(chunks));
            const path = decodeURIComponent(url.pathname);
            given = await answer({ method: req.method ?? "", path, query: url.searchParams, body });
          }
        } catch (error) {
          given = { status: 400, body: { error: (error as Error).message } };
        }
        const waitMs = latencyMs();
        if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
        if (given === null || res.destroyed) {
          req.socket.destroy();
          return;
        }
        const payload = given.body === undefined ? Buffer.alloc(0) : encode(given.body);
        res.writeHead(given.status, {
          "content-type": "application/cbor",
          "content-length": payload.length,
          ...(given.retryAfterS === undefined ? {} : { "retry-after": String(given.retryAfterS) }),
        });
        res.end(payload);
      });
    });
  }

  start(port = 0): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", () => {
        this.address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
        resolve(this.address);
      });
    });
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
