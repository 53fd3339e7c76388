import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Log } from "../log.js";
import { decode, encode } from "../wire/cbor.js";

export interface Reply {
  status: number;
  body?: object;
  /** Plain text, sent instead of a CBOR body. */
  text?: string;
  /** A body that is already encoded, so that it can be encoded once for many replies. */
  encoded?: Buffer;
  headers?: Record<string, string>;
}

export interface Route {
  method: "GET" | "POST";
  /** Returns the reply at once or later; a rejected promise is answered with 503. */
  run(input: { body: unknown; params: string[] }): Reply | Promise<Reply>;
}

export interface Router {
  /** All methods known for a path, or null when the path is unknown. */
  find(path: string): { routes: Route[]; params: string[] } | null;
}

export const MAX_BODY_BYTES = 64 * 1024;
/** Small enough that body and headers fit into one packet. */
const SINGLE_WRITE_MAX_BYTES = 1024;

export const retryLater = (status: 429 | 503, reason: string, seconds = 1): Reply => ({
  status,
  body: { error: reason },
  headers: { "retry-after": String(seconds) },
});

function send(res: ServerResponse, reply: Reply): void {
  if (res.headersSent || res.destroyed) return;
  const payload =
    reply.encoded ??
    (reply.body === undefined ? Buffer.from(reply.text ?? "") : encode(reply.body));
  res.writeHead(reply.status, {
    "content-type": reply.text === undefined ? "application/cbor" : "text/plain; version=0.0.4",
    "content-length": payload.length,
    ...reply.headers,
  });
  // A small body is sent as text: then Node writes it together with the headers, which costs less.
  if (payload.length <= SINGLE_WRITE_MAX_BYTES) res.end(payload.toString("latin1"), "latin1");
  else res.end(payload);
}

function handle(router: Router, log: Log, req: IncomingMessage, res: ServerResponse): void {
  const url = req.url ?? "/";
  const queryStart = url.indexOf("?");
  const found = router.find(queryStart < 0 ? url : url.slice(0, queryStart));
  const rejectRequest = (status: number, reason: string): void => {
    // The rest of the body is not parsed, so the connection cannot be reused.
    send(res, { status, body: { error: reason }, headers: { connection: "close" } });
    req.resume();
  };
  const declared = Number(req.headers["content-length"] ?? 0);
  if (declared > MAX_BODY_BYTES) {
    rejectRequest(413, "body too large");
    return;
  }
  if (found === null) {
    rejectRequest(404, "unknown path");
    return;
  }
  const route = found.routes.find((candidate) => candidate.method === req.method);
  if (route === undefined) {
    rejectRequest(405, "method not allowed");
    return;
  }

  const chunks: Buffer[] = [];
  let size = 0;
  req.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size <= MAX_BODY_BYTES) chunks.push(chunk);
    else if (!res.headersSent) rejectRequest(413, "body too large");
  });
  req.on("error", () => res.destroy());
  req.on("end", () => {
    if (res.headersSent) return;
    let body: unknown;
    if (route.method === "POST" && size > 0) {
      try {
        body = decode(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
      } catch {
        send(res, { status: 400, body: { error: "the body is not CBOR" } });
        return;
      }
    }
    const onError = (error: unknown): void => {
      log.error({ err: error, path: url }, "request handler failed; answered with status 503");
      send(res, retryLater(503, "internal error"));
    };
    try {
      const reply = route.run({ body, params: found.params });
      if (reply instanceof Promise) reply.then((value) => send(res, value), onError);
      else send(res, reply);
    } catch (error) {
      onError(error);
    }
  });
}

export function startServer(
  address: string,
  router: Router,
  log: Log,
  maxConnections: number,
): Promise<Server> {
  const server = createServer({ keepAliveTimeout: 0, requestTimeout: 20_000 }, (req, res) =>
    handle(router, log, req, res),
  );
  server.maxConnections = maxConnections;
  const colon = address.lastIndexOf(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => {
      server.off("error", reject);
      server.on("error", (error) => log.error({ err: error }, "listener"));
      resolve(server);
    });
  });
}
