import type { Attachment } from "../extension/index.js";
import type { Reply, Route, Router } from "../http/server.js";
import { drainPath, statusPath } from "../wire/jobs.js";
import type { JobApi } from "./job-api.js";

/** The functions of a controller that the routes call. */
interface Handlers {
  jobApi: JobApi;
  attachments: readonly Attachment[];
  /** Called for each request, whatever its path. */
  noteRequest(): void;
  health(): Reply;
  metrics(): Promise<Reply>;
  status(): object;
  node: string;
  drain(on: boolean): Promise<void>;
  report(body: unknown): Reply | Promise<Reply>;
}

async function setDrained(body: unknown, { node, drain }: Handlers): Promise<Reply> {
  const on = (body as { on?: unknown } | null | undefined)?.on;
  if (typeof on !== "boolean") return { status: 400, body: { error: "on: must be true or false" } };
  await drain(on);
  return { status: 200, body: { node, drained: on } };
}

/**
 * Creates the router: the paths of PROTOCOL first, then those for operators, then those of
 * packages.
 */
export function routerOf(answers: Handlers): Router {
  const { jobApi, attachments } = answers;
  const fixed = new Map<string, Route[]>([
    ["/healthz", [{ method: "GET", run: () => answers.health() }]],
    ["/metrics", [{ method: "GET", run: () => answers.metrics() }]],
    [statusPath, [{ method: "GET", run: () => ({ status: 200, body: answers.status() }) }]],
    [drainPath, [{ method: "POST", run: ({ body }) => setDrained(body, answers) }]],
    ["/checkin", [{ method: "POST", run: ({ body }) => answers.report(body) }]],
    ["/api/jobs", [{ method: "POST", run: ({ body }) => jobApi.submit(body) }]],
  ]);
  const show: Route[] = [{ method: "GET", run: ({ params }) => jobApi.show(params[0]!) }];
  const cancel: Route[] = [{ method: "POST", run: ({ params }) => jobApi.cancel(params[0]!) }];
  return {
    find: (path) => {
      answers.noteRequest();
      const routes = fixed.get(path);
      if (routes !== undefined) return { routes, params: [] };
      const match = /^\/api\/jobs\/([^/]+)(\/withdraw)?$/.exec(path);
      if (match !== null) {
        return { routes: match[2] === undefined ? show : cancel, params: [match[1]!] };
      }
      for (const { find } of attachments) {
        const found = find?.(path) ?? null;
        if (found !== null) return found;
      }
      return null;
    },
  };
}
