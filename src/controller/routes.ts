import type { Attachment } from "../extension/index.js";
import type { Reply, Route, Router } from "../http/server.js";
import { drainPath, statusPath } from "../wire/jobs.js";
import type { JobApi } from "./job-api.js";

/** What a controller answers with. */
interface Answers {
  users: JobApi;
  attached: readonly Attachment[];
  /** Anyone outside has asked anything. */
  asked(): void;
  health(): Reply;
  metrics(): Promise<Reply>;
  status(): object;
  node: string;
  drain(on: boolean): Promise<void>;
  report(body: unknown): Reply | Promise<Reply>;
}

async function drained(body: unknown, { node, drain }: Answers): Promise<Reply> {
  const on = (body as { on?: unknown } | null | undefined)?.on;
  if (typeof on !== "boolean") return { status: 400, body: { error: "on: true or false" } };
  await drain(on);
  return { status: 200, body: { node, drained: on } };
}

/** PROTOCOL's paths first, then those of operators, then those of packages. */
export function routerOf(answers: Answers): Router {
  const { users, attached } = answers;
  const fixed = new Map<string, Route[]>([
    ["/healthz", [{ method: "GET", run: () => answers.health() }]],
    ["/metrics", [{ method: "GET", run: () => answers.metrics() }]],
    [statusPath, [{ method: "GET", run: () => ({ status: 200, body: answers.status() }) }]],
    [drainPath, [{ method: "POST", run: ({ body }) => drained(body, answers) }]],
    ["/checkin", [{ method: "POST", run: ({ body }) => answers.report(body) }]],
    ["/api/jobs", [{ method: "POST", run: ({ body }) => users.submit(body) }]],
  ]);
  const show: Route[] = [{ method: "GET", run: ({ params }) => users.show(params[0]!) }];
  const cancel: Route[] = [{ method: "POST", run: ({ params }) => users.cancel(params[0]!) }];
  return {
    find: (path) => {
      answers.asked();
      const routes = fixed.get(path);
      if (routes !== undefined) return { routes, params: [] };
      const match = /^\/api\/jobs\/([^/]+)(\/withdraw)?$/.exec(path);
      if (match !== null) {
        return { routes: match[2] === undefined ? show : cancel, params: [match[1]!] };
      }
      for (const { find } of attached) {
        const found = find?.(path) ?? null;
        if (found !== null) return found;
      }
      return null;
    },
  };
}
