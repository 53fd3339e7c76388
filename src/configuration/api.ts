/** The HTTP interface for operators to read and change the configuration. */
import type { Core } from "../extension/index.js";
import { type Reply, type Route, type Router, retryLater } from "../http/server.js";
import { limitForJson } from "../quota/limits.js";
import { keys } from "../state/keys.js";
import { isMap } from "../wire/cbor.js";
import type { Author, ChangeRequest, ChangeResult } from "./author.js";
import { historyUpTo } from "./history.js";
import type { LiveConfiguration } from "./live.js";
import {
  type Decision,
  isDecision,
  isOverrides,
  isRequestId,
  jsonBytes,
  MAX_AUTHOR_BYTES,
  MAX_TEXT_BYTES,
} from "./records.js";

export const configurationPath = "/about/configuration";
export const historyPath = "/about/configuration/history";

/** Which revision one controller uses. */
export interface ControllerRevision {
  node: string;
  present: boolean;
  /** Number of parts that it owns. */
  parts: number;
  /** The revision in force there; null: it has not published one. */
  revision: number | null;
  refused: number | null;
}

/** The configuration as one controller sees it. */
export interface ConfigurationView {
  node: string;
  /** The revision in force at this controller. */
  revision: number;
  head: { revision: number; by: string; why: string; at: number } | null;
  teams: object[];
  groups: object[];
  controllers: ControllerRevision[];
}

export function configurationView(core: Core, live: LiveConfiguration): ConfigurationView {
  const { settings } = core;
  const { revision, limits, guarantees, groups } = live.effective;
  const tree = new Map(groups.map((group) => [group.name, group]));
  const { head } = live;
  const teams = [...limits].map(([name, limit]) => ({
    name,
    guarantee: guarantees.get(name),
    limit: limitForJson(limit),
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
    const decision: Decision | null = isDecision(value) ? value : null;
    return {
      node: name,
      present: mirror.rows.has(keys.node(name)),
      parts: parts.get(name) ?? 0,
      revision: decision?.revision ?? null,
      refused: decision?.refused ?? null,
    };
  });
}

/** Parses a request; returns an error message if it is invalid. */
function parseRequest(body: unknown): ChangeRequest | string {
  if (!isMap(body)) return "body: expected a map";
  const { id, base, by, why, change, dryRun } = body;
  if (!isRequestId(id)) return "id: expected 1 to 60 characters of 0-9, A-Z, a-z, _ and -";
  if (typeof base !== "number" || !Number.isSafeInteger(base) || base < 0)
    return "base: expected a revision number, 0 or more";
  if (typeof by !== "string" || by === "" || jsonBytes(by) > MAX_AUTHOR_BYTES)
    return `by: expected a name of at most ${MAX_AUTHOR_BYTES} bytes`;
  if (typeof why !== "string" || jsonBytes(why) > MAX_TEXT_BYTES)
    return `why: expected at most ${MAX_TEXT_BYTES} bytes`;
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

/** Finds the routes of the configuration's paths, for the controller's router. */
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
      core.log.warn(
        { why: String(error) },
        "result of a configuration change is not known; answering 503",
      );
      return retryLater(503, "the state service did not answer; the change may have been made");
    }
  };
  const routes = new Map<string, Route[]>([
    [
      configurationPath,
      [
        { method: "GET", run: () => ({ status: 200, body: configurationView(core, live) }) },
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
