import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { decode, encode } from "../wire/cbor.js";

export interface ServiceRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  body: unknown;
}

export interface ServiceResponse {
  status: number;
  body?: unknown;
  retryAfterS?: number;
}

/** Answers a request. Null closes the connection without a response, as if it had been cut. */
export type RequestHandler = (
  request: ServiceRequest,
) => ServiceResponse | null | Promise<ServiceResponse | null>;

const MAX_BODY_BYTES = 64 * 1024;

/** Base class of the stand-ins: an HTTP server on loopback that exchanges CBOR bodies. */
export class HttpService {
  readonly #server: Server;
  address = "";

  constructor(
    handle: RequestHandler,
    /** Delay added to each response, milliseconds. */
    latencyMs: () => number = () => 0,
  ) {
    this.#server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      let bodyBytes = 0;
      req.on("data", (chunk: Buffer) => {
        bodyBytes += chunk.length;
        if (bodyBytes <= MAX_BODY_BYTES) chunks.push(chunk);
      });
      req.on("error", () => res.destroy());
      req.on("end", async () => {
        const url = new URL(req.url ?? "/", "http://stand-in");
        let response: ServiceResponse | null;
        try {
          if (bodyBytes > MAX_BODY_BYTES) response = { status: 413 };
          else {
            const body = bodyBytes === 0 ? undefined : decode(Buffer.concat(chunks));
            const path = decodeURIComponent(url.pathname);
            response = await handle({
              method: req.method ?? "",
              path,
              query: url.searchParams,
              body,
            });
          }
        } catch (error) {
          response = { status: 400, body: { error: (error as Error).message } };
        }
        const waitMs = latencyMs();
        if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
        if (response === null || res.destroyed) {
          req.socket.destroy();
          return;
        }
        const payload = response.body === undefined ? Buffer.alloc(0) : encode(response.body);
        res.writeHead(response.status, {
          "content-type": "application/cbor",
          "content-length": payload.length,
          ...(response.retryAfterS === undefined
            ? {}
            : { "retry-after": String(response.retryAfterS) }),
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
