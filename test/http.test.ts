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

/** Sends bytes as they are and reads until the other side closes. */
function raw(bytes: Buffer | string): Promise<string> {
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
  { name: "one value in CBOR", bytes: post("/echo", Buffer.from([0xa0])), status: 200 },
  { name: "a body that is not CBOR", bytes: post("/echo", Buffer.from("{]")), status: 400 },
  { name: "an unknown path", bytes: post("/other", Buffer.from([0xa0])), status: 404 },
  {
    name: "another method",
    bytes: "GET /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    status: 405,
  },
  {
    name: "a body over the limit, announced",
    bytes: post("/echo", Buffer.alloc(MAX_BODY_BYTES + 1)),
    status: 413,
  },
  {
    name: "a body over the limit, in chunks",
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
  { name: "no HTTP at all", bytes: "rubbish\r\n\r\n", status: 400 },
];
for (const { name, bytes, status } of requests) {
  test(`http server: ${name}: ${status}`, async () => {
    assert.match(await raw(bytes), new RegExp(`^HTTP/1.1 ${status} `));
  });
}

test("http server: what cannot be taken is answered at once, saying when to come back", () => {
  assert.deepEqual(retryLater(429, "busy", 2).headers, { "retry-after": "2" });
});

const rubbish = [
  { name: "closes at once", bytes: null },
  { name: "sends no HTTP", bytes: "rubbish\r\n\r\n" },
  { name: "sends half a message", bytes: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc" },
  {
    name: "sends a body that is not CBOR",
    bytes: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
  },
];
for (const { name, bytes } of rubbish) {
  test(`http client: a service that ${name} is no answer`, async () => {
    const other = createServer((socket) => {
      socket.on("error", () => undefined);
      if (bytes === null) socket.destroy();
      else socket.end(bytes);
    });
    await new Promise<void>((resolve) => other.listen(0, "127.0.0.1", resolve));
    const client = new HttpClient(`127.0.0.1:${(other.address() as AddressInfo).port}`, 1);
    await assert.rejects(client.call("GET", "/", undefined, 5000), NoAnswer);
    client.close();
    other.close();
  });
}

test("peers: rubbish ends the connection and nothing else", async () => {
  const heard: unknown[] = [];
  const mesh = new Mesh(
    "n0",
    "127.0.0.1:0",
    [{ name: "n1", addr: "127.0.0.1:1" }],
    systemClock,
    quiet,
    50,
    (f) => heard.push(f),
  );
  await mesh.start();
  for (const bytes of ["GET / HTTP/1.1\r\n\r\n", Buffer.from([0, 0, 0, 1, 2]), Buffer.alloc(64)]) {
    await new Promise<void>((resolve) => {
      const socket = connect(mesh.port, "127.0.0.1", () => socket.write(bytes));
      socket.on("error", () => undefined);
      socket.on("close", () => resolve());
    });
  }
  assert.deepEqual(heard, []);
  mesh.stop();
});

const view = { uid: "wk-1", status: "pending" };
const talks: {
  name: string;
  answers: (Answer | null)[];
  ends: "view" | "refused" | "unanswered";
  afterS: number;
}[] = [
  { name: "accepted", answers: [{ status: 201, body: view }], ends: "view", afterS: 0 },
  {
    name: "no answer, then known",
    answers: [null, { status: 200, body: view }],
    ends: "view",
    afterS: 1,
  },
  {
    name: "told when to come back",
    answers: [
      { status: 429, body: {}, retryAfterS: 7 },
      { status: 200, body: view },
    ],
    ends: "view",
    afterS: 7,
  },
  {
    name: "told to come back much later than is allowed",
    answers: [
      { status: 503, body: {}, retryAfterS: 300 },
      { status: 200, body: view },
    ],
    ends: "view",
    afterS: 30,
  },
  {
    name: "can never run",
    answers: [{ status: 422, body: { error: "too big" } }],
    ends: "refused",
    afterS: 0,
  },
  {
    // PROTOCOL: any other status is tried again, though it begins with a 4.
    name: "other statuses, then taken",
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
for (const { name, answers, ends, afterS } of talks) {
  test(`client: ${name}`, async () => {
    const clock = new FakeClock();
    const left = [...answers];
    const client = new JobClient("", clock, {
      call: async () => {
        const next = left.shift() ?? null;
        if (next === null) throw new NoAnswer("nothing");
        return next;
      },
    });
    let end = "";
    let at = 0;
    client.submit({}).then(
      () => {
        end = "view";
        at = clock.now();
      },
      (error) => {
        end =
          error instanceof RequestRefused
            ? "refused"
            : error instanceof Unanswered
              ? "unanswered"
              : "?";
        at = clock.now();
      },
    );
    await clock.run(100_000);
    assert.equal(end, ends);
    assert.equal(at, afterS * 1000);
  });
}
