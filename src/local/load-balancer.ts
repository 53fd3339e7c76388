import { type Clock, sleep } from "../clock.js";
import { HttpClient, NoAnswer } from "../http/client.js";
import { isMap } from "../wire/cbor.js";
import { HttpService, type ServiceRequest, type ServiceResponse } from "./http-service.js";
import type { UploadedJob } from "./worker.js";

/**
 * Load balancer that users connect to. It forwards each request to a healthy controller and keeps
 * the jobs that users upload, for the workers to fetch. Health probes follow PROTOCOL: two failures
 * in a row take a controller out of rotation, two successes in a row bring it back.
 */
export class LoadBalancer extends HttpService {
  readonly jobs = new Map<string, UploadedJob>();
  readonly #nodes: { name: string; client: HttpClient; up: boolean; streak: number }[];
  #requestCount = 0;
  #stopped = false;

  constructor(
    nodes: ReadonlyMap<string, string>,
    readonly clock: Clock,
    /** Time between two health probes, milliseconds. */
    readonly probeIntervalMs: number,
  ) {
    super((request) => this.#forward(request));
    this.#nodes = [...nodes].map(([name, address]) => ({
      name,
      client: new HttpClient(address, 64, clock),
      up: false,
      streak: 0,
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
            .call("GET", "/healthz", undefined, this.probeIntervalMs)
            .catch(() => null);
          const ok = answer?.status === 200;
          node.streak = ok ? Math.max(1, node.streak + 1) : Math.min(-1, node.streak - 1);
          if (node.streak >= 2 || (ok && !this.#nodes.some(({ up }) => up))) node.up = true;
          if (node.streak <= -2) node.up = false;
        }),
      );
      await sleep(this.clock, this.probeIntervalMs);
    }
  }

  async #forward({ method, path, body }: ServiceRequest): Promise<ServiceResponse | null> {
    if (method === "POST" && path === "/api/jobs" && isMap(body)) {
      const job = body as unknown as UploadedJob;
      if (!this.jobs.has(job.uid)) this.jobs.set(job.uid, job);
    }
    const candidates = this.#nodes.filter((node) => node.up);
    // Retries on another controller only if the connection was refused, because otherwise the
    // request may have been executed.
    for (let attempt = 0; attempt < Math.min(3, candidates.length); attempt++) {
      const { client } = candidates[this.#requestCount++ % candidates.length]!;
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
