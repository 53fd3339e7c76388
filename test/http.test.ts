import assert from "node:assert/strict";
import type { AddressInfo } from "node:net";
import { connect, createServer, type Server } from "node:net";
import { after, before, test } from "node:test";
import { JobClient, RequestRefused, Unanswered } from "../src/client/client.js";
import { systemClock } from "../src/clock.js";
import { type Answer, HttpClient, NoAnswer } from "../src/http/client.js";
import { MAX_BODY_BYTES, type Router, retryLater, startServer } from "../src/http/server.js";
import { Mesh } from "../src/peer/mesh.js";
import { FakeClock } from "./support/clock.js";
import { quiet } from "./support/common.js";

const router: Router = {
  find(path) {
    if (path === "/fails") {
      return { params: [], routes: [{ method: "GET", run: () => Promise.reject(new Error("x")) }] };
    }
    if (path !== "/echo") return null;
    return {
      params: [],
      routes: [{ method: "POST", run: ({ body }) => ({ status: 200, body: { body } }) }],
    };
  },
};

let server: Server;
let port = 0;
before(async () => {
  server = await startServer("127.0.0.1:0", router, quiet, 100);
  port = (server.address() as AddressInfo).port;
});
after(() => {
  server.close();
  (server as unknown as { closeAllConnections(): void }).closeAllConnections();
});

/** Sends raw bytes and reads until the server closes the connection. */
function exchangeRaw(bytes: Buffer | string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, "127.0.0.1", () => socket.write(bytes));
    let text = "";
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
    });
    socket.on("close", () => resolve(text));
    socket.on("error", reject);
  });
}

const post = (path: string, body: Buffer, more = ""): Buffer =>
  Buffer.concat([
    Buffer.from(
      `POST ${path} HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.length}\r\n${more}Connection: close\r\n\r\n`,
    ),
    body,
  ]);
const requests = [
  { name: "a valid CBOR body", bytes: post("/echo", Buffer.from([0xa0])), status: 200 },
  { name: "a body that is not CBOR", bytes: post("/echo", Buffer.from("{]")), status: 400 },
  { name: "an unknown path", bytes: post("/other", Buffer.from([0xa0])), status: 404 },
  {
    name: "a method the path does not have",
    bytes: "GET /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    status: 405,
  },
  {
    name: "a body over the limit by its content length",
    bytes: post("/echo", Buffer.alloc(MAX_BODY_BYTES + 1)),
    status: 413,
  },
  {
    name: "a chunked body over the limit",
    bytes: Buffer.concat([
      Buffer.from("POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n"),
      Buffer.alloc(0x11000),
      Buffer.from("\r\n0\r\n\r\n"),
    ]),
    status: 413,
  },
  {
    name: "a handler that fails",
    bytes: "GET /fails HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    status: 503,
  },
  { name: "bytes that are not HTTP", bytes: "rubbish\r\n\r\n", status: 400 },
];
for (const { name, bytes, status } of requests) {
  test(`http server: ${name}: ${status}`, async () => {
    assert.match(await exchangeRaw(bytes), new RegExp(`^HTTP/1.1 ${status} `));
  });
}

test("http server: a refused request gets a Retry-After header", () => {
  assert.deepEqual(retryLater(429, "busy", 2).headers, { "retry-after": "2" });
});

const invalidServers = [
  { name: "closes the connection at once", bytes: null },
  { name: "sends bytes that are not HTTP", bytes: "rubbish\r\n\r\n" },
  { name: "sends a truncated message", bytes: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc" },
  {
    name: "sends a body that is not CBOR",
    bytes: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
  },
];
for (const { name, bytes } of invalidServers) {
  test(`http client: a server that ${name} gives NoAnswer`, async () => {
    const invalidServer = createServer((socket) => {
      socket.on("error", () => undefined);
      if (bytes === null) socket.destroy();
      else socket.end(bytes);
    });
    await new Promise<void>((resolve) => invalidServer.listen(0, "127.0.0.1", resolve));
    const client = new HttpClient(`127.0.0.1:${(invalidServer.address() as AddressInfo).port}`, 1);
    await assert.rejects(client.call("GET", "/", undefined, 5000), NoAnswer);
    client.close();
    invalidServer.close();
  });
}

test("peers: invalid bytes close the connection and have no other effect", async () => {
  const frames: unknown[] = [];
  const mesh = new Mesh(
    "n0",
    "127.0.0.1:0",
    [{ name: "n1", addr: "127.0.0.1:1" }],
    systemClock,
    quiet,
    50,
    (frame) => frames.push(frame),
  );
  await mesh.start();
  for (const bytes of ["GET / HTTP/1.1\r\n\r\n", Buffer.from([0, 0, 0, 1, 2]), Buffer.alloc(64)]) {
    await new Promise<void>((resolve) => {
      const socket = connect(mesh.port, "127.0.0.1", () => socket.write(bytes));
      socket.on("error", () => undefined);
      socket.on("close", () => resolve());
    });
  }
  assert.deepEqual(frames, []);
  mesh.stop();
});

const view = { uid: "wk-1", status: "pending" };
const exchanges: {
  name: string;
  answers: (Answer | null)[];
  ends: "view" | "refused" | "unanswered";
  afterS: number;
}[] = [
  { name: "accepted", answers: [{ status: 201, body: view }], ends: "view", afterS: 0 },
  {
    name: "no answer, then accepted by a retry",
    answers: [null, { status: 200, body: view }],
    ends: "view",
    afterS: 1,
  },
  {
    name: "retry after the given time",
    answers: [
      { status: 429, body: {}, retryAfterS: 7 },
      { status: 200, body: view },
    ],
    ends: "view",
    afterS: 7,
  },
  {
    name: "retry time longer than allowed",
    answers: [
      { status: 503, body: {}, retryAfterS: 300 },
      { status: 200, body: view },
    ],
    ends: "view",
    afterS: 30,
  },
  {
    name: "a job that can never run",
    answers: [{ status: 422, body: { error: "too big" } }],
    ends: "refused",
    afterS: 0,
  },
  {
    // PROTOCOL: any other status is retried, also one that begins with 4.
    name: "retried statuses, then accepted",
    answers: [
      { status: 408, body: undefined },
      { status: 409, body: undefined },
      { status: 201, body: { uid: "wk-1", status: "pending" } },
    ],
    ends: "view",
    afterS: 2,
  },
  { name: "never answered", answers: [], ends: "unanswered", afterS: 60 },
];
for (const { name, answers, ends, afterS } of exchanges) {
  test(`client: ${name}`, async () => {
    const clock = new FakeClock();
    const remaining = [...answers];
    const client = new JobClient("", clock, {
      call: async () => {
        const next = remaining.shift() ?? null;
        if (next === null) throw new NoAnswer("nothing");
        return next;
      },
    });
    let end = "";
    let endedAt = 0;
    client.submit({}).then(
      () => {
        end = "view";
        endedAt = clock.now();
      },
      (error) => {
        end =
          error instanceof RequestRefused
            ? "refused"
            : error instanceof Unanswered
              ? "unanswered"
              : "?";
        endedAt = clock.now();
      },
    );
    await clock.run(100_000);
    assert.equal(end, ends);
    assert.equal(endedAt, afterS * 1000);
  });
}
