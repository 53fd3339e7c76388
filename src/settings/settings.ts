import { readFileSync } from "node:fs";
import { parse, TomlError } from "smol-toml";
import { z } from "zod";
import { describeError } from "../errors.js";
import { limitFromSetting } from "../quota/limits.js";

const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, "expected host:port");
const positive = z.number().finite().positive();
const amount = z.number().finite().nonnegative();

const limit = amount.transform(limitFromSetting);

const team = z.object({
  name: z.string().min(1),
  cpus: amount.default(0),
  cpus_max: limit,
  gpus: amount.default(0),
  gpus_max: limit.default(limitFromSetting(0)),
});

const schema = z.object({
  node_name: z.string().min(1).max(100),
  site: z.string().min(1),
  listen: address,
  cluster_listen: address,
  known: z
    .array(z.object({ node_name: z.string().min(1), site: z.string().min(1), addr: address }))
    .default([]),
  services: z.object({ cloud: address, state: address }),
  params: z.object({
    size: z.number().int().positive(),
    zones: z.array(z.string()).default([]),
    clock_error_ms: amount.default(0),
    teams: z.array(team),
    objectives: z
      .array(
        z.object({
          kind: z.string(),
          class: z.string().optional(),
          within_s: positive.optional(),
        }),
      )
      .default([]),
    workers: z.object({
      report_s: positive,
      lease_s: positive,
      cancel_s: positive,
    }),
    state: z.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: z.number().int().min(2),
      // Limits that come into force at some later time, without notice; absent ones stay unchanged.
      next: z
        .object({
          rps: positive.optional(),
          write_rps: positive.optional(),
          value_kb: positive.optional(),
          txn_ops: z.number().int().min(2).optional(),
        })
        .optional(),
    }),
    cloud: z.object({ rps: positive, list_lag_s: amount }),
    quota: z.object({
      cores: positive,
      ram_mb: positive,
      max_sockets: z.number().int().positive(),
    }),
  }),
});

export type Settings = z.infer<typeof schema>;
export type Team = z.infer<typeof team>;

/** An error in the settings; the message is one line with file, field and reason. */
export class SettingsError extends Error {}

export function parseSettings(text: string, file: string): Settings {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const reason = error.message.split("\n")[0] ?? "not TOML";
    throw new SettingsError(`${file}:${error.line}: ${reason}`);
  }
  const result = schema.safeParse(raw);
  if (!result.success) {
    const issue = result.error.issues[0];
    throw new SettingsError(`${file}: ${issue?.path.join(".") || "file"}: ${issue?.message}`);
  }
  const settings = result.data;
  const names = new Set<string>();
  for (const { name } of settings.params.teams) {
    if (names.has(name)) throw new SettingsError(`${file}: params.teams: ${name} is listed twice`);
    names.add(name);
  }
  const nodes = new Set([settings.node_name]);
  for (const { node_name } of settings.known) {
    if (nodes.has(node_name)) {
      throw new SettingsError(`${file}: known: ${node_name} is listed twice`);
    }
    nodes.add(node_name);
  }
  if (settings.params.workers.cancel_s <= settings.params.workers.lease_s) {
    throw new SettingsError(`${file}: params.workers.cancel_s: must be longer than lease_s`);
  }
  return settings;
}

export function loadSettings(file: string): Settings {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new SettingsError(`${file}: ${describeError(error)}`);
  }
  return parseSettings(text, file);
}

/** All controllers, sorted by name, so that every controller has the same order. */
export function clusterOf(settings: Settings): { name: string; zone: string; addr: string }[] {
  const all = settings.known.map((node) => ({
    name: node.node_name,
    zone: node.site,
    addr: node.addr,
  }));
  all.push({ name: settings.node_name, zone: settings.site, addr: settings.cluster_listen });
  return all.sort((a, b) => (a.name < b.name ? -1 : a.name > b.name ? 1 : 0));
}
