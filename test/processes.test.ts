import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { JobClient } from "../src/client/client.js";
import { Platform } from "../src/local/index.js";

const PROGRAM = fileURLToPath(new URL("../src/main.js", import.meta.url));
const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

interface ClusterStatus {
  parts: { owner: string | null }[];
  controllers: { name: string; state: string }[];
}

/**
 * Real processes on loopback: one is killed, one stopped longer than a lease and resumed, one
 * terminated.
 */
test("processes: SIGKILL, SIGSTOP and SIGCONT, SIGTERM, under load", async () => {
  const hostByPiece = new Map<string, string>();
  const duplicateStarts: string[] = [];
  const platform = new Platform({
    controllers: 4,
    machines: 3,
    zones: ["a"],
    initial: 6,
    reportS: 0.4,
    leaseS: 3,
    cancelS: 10,
    watch: ({ kind, piece, host }) => {
      if (kind === "ended") hostByPiece.delete(piece);
      else if (hostByPiece.has(piece))
        duplicateStarts.push(`${piece} on ${hostByPiece.get(piece)} and ${host}`);
      else hostByPiece.set(piece, host);
    },
  });
  const folder = mkdtempSync(join(tmpdir(), "birchdale-test-"));
  const children: ChildProcess[] = [];
  const clients: JobClient[] = [];
  const launch = (n: number): void => {
    const args = [PROGRAM, "--suspicion", "--config", join(folder, `${n}.toml`)];
    const env = { ...process.env, LOG_LEVEL: "silent" };
    children[n] = spawn(process.execPath, args, { stdio: "ignore", env });
  };
  const waitUntil = async (condition: () => Promise<boolean>, failure: string): Promise<void> => {
    for (let n = 0; n < 600; n++) {
      if (await condition().catch(() => false)) return;
      await pause(50);
    }
    assert.fail(failure);
  };
  const owners = async (index: number): Promise<(string | null)[]> =>
    ((await clients[index]!.status()) as ClusterStatus).parts.map(({ owner }) => owner);
  try {
    await platform.start(0);
    for (const [n, text] of platform.files.entries()) {
      writeFileSync(join(folder, `${n}.toml`), text);
      clients[n] = new JobClient(platform.settings[n]!.listen);
      launch(n);
    }
    const names = platform.settings.map(({ node_name }) => node_name);
    assert.ok(await platform.ready());
    await waitUntil(
      async () => (await owners(0)).every((owner, n) => owner === names[n]),
      "the parts are not owned by their home controllers",
    );
    const front = new JobClient(platform.front.address);
    clients.push(front);
    const jobs = Array.from({ length: 8 }, (_, n) => `wk-${900_000 + n}`);
    const body = (uid: string): object => ({
      uid,
      eidos: "test",
      owner: "red",
      shape: "batch",
      urgency: "normal",
      pieces: 12,
      cores: 2,
      accelerators: 0,
      memGb: 1,
      bundle: null,
      sizeGb: 0,
      together: false,
      scatter: false,
      borrowed: true,
      expectS: 1.5,
      stashEveryS: 0,
      stashS: 0,
    });
    for (const uid of jobs.slice(0, 4)) await front.submit(body(uid));

    children[1]!.kill("SIGKILL");
    await waitUntil(async () => {
      const now = await owners(0);
      return now[1] !== null && now[1] !== names[1];
    }, "no controller took over the part of the killed one");
    launch(1);

    children[2]!.kill("SIGSTOP");
    await waitUntil(async () => {
      const now = await owners(0);
      return now[2] !== null && now[2] !== names[2];
    }, "no controller took over the part of the stopped one");
    for (const uid of jobs.slice(4)) await front.submit(body(uid));
    children[2]!.kill("SIGCONT");
    // It learns that it was replaced, and gets its part back once it is stable again.
    await waitUntil(
      async () => (await owners(2))[2] === names[2],
      "the resumed controller did not get its part back",
    );

    const ended = once(children[3]!, "exit");
    children[3]!.kill("SIGTERM");
    const [code] = (await ended) as [number | null];
    assert.equal(code, 0);
    // The part was handed over before the process ended, not a lease later.
    const claim = platform.state.rows.get("w/p/3")?.value as { node: string } | undefined;
    assert.ok(claim !== undefined && claim.node !== names[3], JSON.stringify(claim));

    for (const uid of jobs) {
      await waitUntil(async () => (await front.show(uid)).status === "done", `${uid} is not done`);
    }
    assert.deepEqual(duplicateStarts, []);
    const { controllers } = (await clients[0]!.status()) as ClusterStatus;
    assert.deepEqual(controllers.map(({ name }) => name).sort(), names.slice(1).sort());
  } finally {
    for (const child of children) child.kill("SIGKILL");
    for (const client of clients) client.close();
    platform.stop();
    rmSync(folder, { recursive: true, force: true });
  }
});
