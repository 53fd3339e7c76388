/**
 * Processor time of the controller processes with the market off, on and idle, and on with many bids: `npm run measure:leader` (a minute and a half; reads /proc, so Linux only).
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { HttpClient } from "../../src/http/client.js";
import { Platform } from "../../src/local/index.js";
import { MarketClient } from "../../src/market/index.js";

const MARKET = `market {
  every_s: 5  term_s: 30  save_s: 1  least_price: 0.001  sure: 0.5  growth: 1
  bids_a_minute: 100000  open_bids: 1000
  guest { name: "visitor" most { cpus: 48 } }
}`;
const SECONDS = 25;
const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Milliseconds of processor time of a process so far; ticks are hundredths of a second. */
function used(pid: number): number {
  const [, rest = ""] = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ");
  const fields = rest.split(" ");
  return (Number(fields[11]) + Number(fields[12])) * 10;
}

async function measure(name: string, market: boolean, bids: number): Promise<void> {
  const platform = new Platform({ controllers: 3, machines: 6, initial: 4 });
  const folder = mkdtempSync(join(tmpdir(), "birchdale-"));
  await platform.start();
  const tuning = join(folder, "market.textproto");
  writeFileSync(tuning, MARKET);
  const children = platform.files.map((text, n) => {
    const file = join(folder, `${n}.toml`);
    writeFileSync(file, text);
    const args = ["target/bin/main.js", ...(market ? ["--tuning", tuning] : []), "--config", file];
    const env = { ...process.env, LOG_LEVEL: "error" };
    return spawn(process.execPath, args, { stdio: ["ignore", "ignore", "inherit"], env });
  });
  try {
    if (!(await platform.ready())) throw new Error("the local platform did not get ready");
    const client = new HttpClient(platform.front.address, 4);
    const guests = new MarketClient(platform.front.address);
    for (let n = 0; n < bids; n++) {
      const latest = Date.now() / 1000 + 300;
      const bid = {
        id: `b-${n}`,
        guest: "visitor",
        cores: 1,
        slots: 2,
        price: 1 + (n % 7),
        latest,
      };
      await guests.bid(bid);
    }
    await pause(5000);
    const before = children.map(({ pid }) => used(pid!));
    for (let n = 0; n < SECONDS; n++) {
      const job = {
        uid: `wk-${n}`,
        eidos: "test",
        owner: "red",
        shape: "batch",
        urgency: "normal",
        pieces: 4,
        cores: 1,
        accelerators: 0,
        memGb: 1,
        together: false,
        scatter: false,
        borrowed: true,
        expectS: 2,
        stashEveryS: 0,
        stashS: 0,
      };
      await client.call("POST", "/api/jobs", job, 5000).catch(() => null);
      await pause(1000);
    }
    const spent = children.map(({ pid }, n) => (used(pid!) - before[n]!) / SECONDS);
    // The busiest is usually the leader; the sum does not depend on which one leads.
    process.stdout.write(
      `processor time, this machine, ${name}: sum ${spent.reduce((a, b) => a + b, 0).toFixed(1)} ` +
        `ms a second, busiest ${Math.max(...spent).toFixed(1)}\n`,
    );
    client.close();
    guests.close();
  } finally {
    for (const child of children) child.kill("SIGKILL");
    platform.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}

await measure("market off", false, 0);
await measure("market on, no bids", true, 0);
await measure("market on, 200 bids", true, 200);
process.exit(0);
