/** What operators ask and tell a controller about the configuration, over HTTP. */
import type { Core } from "../extension/index.js";
import { type Reply, type Route, type Router, retryLater } from "../http/server.js";
import { shownLimit } from "../quota/limits.js";
import { keys } from "../state/keys.js";
import { isMap } from "../wire/cbor.js";
import type { Author, ChangeRequest, ChangeResult } from "./author.js";
import { historyUpTo } from "./history.js";
import type { LiveConfiguration } from "./live.js";
import {
  bytesOf,
  type Decision,
  isDecision,
  isOverrides,
  isRequestId,
  MOST_AUTHOR,
  MOST_TEXT,
} from "./records.js";

export const configurationPath = "/about/configuration";
export const historyPath = "/about/configuration/history";

/** How one controller stands to the newest revision. */
export interface ControllerRevision {
  node: string;
  present: boolean;
  /** Parts that it holds. */
  parts: number;
  /** By which it decides; null: it has not said. */
  revision: number | null;
  refused: number | null;
}

/** The configuration as one controller sees it. */
export interface ConfigurationView {
  node: string;
  /** By which this controller decides. */
  revision: number;
  head: { revision: number; by: string; why: string; at: number } | null;
  teams: object[];
  groups: object[];
  controllers: ControllerRevision[];
}

export function viewOf(core: Core, live: LiveConfiguration): ConfigurationView {
  const { settings } = core;
  const { revision, limits, guarantees, groups } = live.effective;
  const tree = new Map(groups.map((group) => [group.name, group]));
  const { head } = live;
  const teams = [...limits].map(([name, limit]) => ({
    name,
    guarantee: guarantees.get(name),
    limit: shownLimit(limit),
    weight: tree.get(name)?.weight ?? 1,
    group: tree.get(name)?.parent ?? "",
  }));
  return {
    node: settings.node_name,
    revision,
    head:
      head === null ? null : { revision: head.revision, by: head.by, why: head.why, at: head.at },
    teams,
    groups: groups.filter(({ name }) => !limits.has(name) && name !== ""),
    controllers: controllersOf(core),
  };
}

function controllersOf({ layout, mirror, claims }: Core): ControllerRevision[] {
  const parts = new Map<string, number>();
  for (let part = 0; part < layout.parts; part++) {
    const owner = claims.ownerOf(part);
    if (owner !== null) parts.set(owner, (parts.get(owner) ?? 0) + 1);
  }
  return layout.members.map(({ name }) => {
    const value = mirror.rows.get(keys.decision(name))?.value;
    const said: Decision | null = isDecision(value) ? value : null;
    return {
      node: name,
      present: mirror.rows.has(keys.node(name)),
      parts: parts.get(name) ?? 0,
      revision: said?.revision ?? null,
      refused: said?.refused ?? null,
    };
  });
}

/** A request's fields, or what is wrong with them. */
function parseRequest(body: unknown): ChangeRequest | string {
  if (!isMap(body)) return "the body is not a map";
  const { id, base, by, why, change, dryRun } = body;
  if (!isRequestId(id)) return "id: expected letters and digits, at most 60";
  if (typeof base !== "number" || !Number.isSafeInteger(base) || base < 0)
    return "base: expected a revision";
  if (typeof by !== "string" || by === "" || bytesOf(by) > MOST_AUTHOR)
    return `by: expected a name of at most ${MOST_AUTHOR} bytes`;
  if (typeof why !== "string" || bytesOf(why) > MOST_TEXT)
    return `why: expected at most ${MOST_TEXT} bytes`;
  if (!isOverrides(change)) return "change: expected teams and groups";
  return { id, base, by, why, change, dryRun: dryRun === true };
}

function replyOf(result: ChangeResult): Reply {
  switch (result.kind) {
    case "applied":
    case "planned": {
      const { kind, revision, changes, warnings } = result;
      return { status: 200, body: { kind, revision, changes, warnings } };
    }
    case "invalid":
      return { status: 422, body: { error: result.fault.reason, name: result.fault.name } };
    case "overtaken": {
      const { revision, by, why, at } = result.head;
      return { status: 409, body: { error: "overtaken", revision, by, why, at } };
    }
    case "not ready":
      return retryLater(503, result.reason);
  }
}

/** The path's routes, for the controller's router. */
export function configurationRouter(
  core: Core,
  live: LiveConfiguration,
  author: Author,
): Router["find"] {
  const change = async (body: unknown): Promise<Reply> => {
    const request = parseRequest(body);
    if (typeof request === "string") return { status: 400, body: { error: request } };
    try {
      return replyOf(await author.apply(request));
    } catch (error) {
      core.log.warn({ why: String(error) }, "change of configuration without answer");
      return retryLater(503, "the state service did not answer: it may be made all the same");
    }
  };
  const routes = new Map<string, Route[]>([
    [
      configurationPath,
      [
        { method: "GET", run: () => ({ status: 200, body: viewOf(core, live) }) },
        { method: "POST", run: ({ body }) => change(body) },
      ],
    ],
    [
      historyPath,
      [
        {
          method: "GET",
          run: () => ({
            status: 200,
            body: { history: historyUpTo(core.mirror, live.head?.revision ?? 0) },
          }),
        },
      ],
    ],
  ]);
  return (path) => {
    const found = routes.get(path);
    return found === undefined ? null : { routes: found, params: [] };
  };
}
