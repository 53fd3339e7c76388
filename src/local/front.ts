import { type Clock, sleep } from "../clock.js";
import { HttpClient, NoAnswer } from "../http/client.js";
import { isMap } from "../wire/cbor.js";
import { type Asked, type Given, Service } from "./serve.js";
import type { Uploaded } from "./worker.js";

/**
 * What users reach: sends each request to a controller that is healthy, and keeps the jobs that
 * are uploaded with it, where workers fetch them. Probes as PROTOCOL says: two failures in a row
 * take a controller out, two answers bring it back.
 */
export class Front extends Service {
  readonly jobs = new Map<string, Uploaded>();
  readonly #nodes: { name: string; client: HttpClient; up: boolean; run: number }[];
  #turn = 0;
  #stopped = false;

  constructor(
    nodes: ReadonlyMap<string, string>,
    readonly clock: Clock,
    /** Between two probes. */
    readonly everyMs: number,
  ) {
    super((asked) => this.#forward(asked));
    this.#nodes = [...nodes].map(([name, address]) => ({
      name,
      client: new HttpClient(address, 64, clock),
      up: false,
      run: 0,
    }));
  }

  override async start(port = 0): Promise<string> {
    const address = await super.start(port);
    void this.#probe();
    return address;
  }

  override stop(): void {
    this.#stopped = true;
    for (const { client } of this.#nodes) client.close();
    super.stop();
  }

  get healthy(): string[] {
    return this.#nodes.filter(({ up }) => up).map(({ name }) => name);
  }

  async #probe(): Promise<void> {
    while (!this.#stopped) {
      await Promise.all(
        this.#nodes.map(async (node) => {
          const answer = await node.client
            .call("GET", "/healthz", undefined, this.everyMs)
            .catch(() => null);
          const well = answer?.status === 200;
          node.run = well ? Math.max(1, node.run + 1) : Math.min(-1, node.run - 1);
          if (node.run >= 2 || (well && !this.#nodes.some(({ up }) => up))) node.up = true;
          if (node.run <= -2) node.up = false;
        }),
      );
      await sleep(this.clock, this.everyMs);
    }
  }

  async #forward({ method, path, body }: Asked): Promise<Given | null> {
    if (method === "POST" && path === "/api/jobs" && isMap(body)) {
      const job = body as unknown as Uploaded;
      if (!this.jobs.has(job.uid)) this.jobs.set(job.uid, job);
    }
    const up = this.#nodes.filter((node) => node.up);
    // Another one is tried when a connection fails; never when a request may have been executed.
    for (let attempt = 0; attempt < Math.min(3, up.length); attempt++) {
      const { client } = up[this.#turn++ % up.length]!;
      try {
        const answer = await client.call(method, encodeURI(path), body, 5000);
        const { status, retryAfterS } = answer;
        return { status, body: answer.body ?? undefined, retryAfterS };
      } catch (error) {
        if (!(error instanceof NoAnswer) || !/ECONNREFUSED/.test(error.message)) return null;
      }
    }
    return { status: 503, body: { error: "no controller is healthy" }, retryAfterS: 1 };
  }
}
