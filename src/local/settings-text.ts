/** Builds settings files of controllers (DEPLOY), for platforms that run on this machine. */
import type { Team } from "../settings/settings.js";

/** A controller and its addresses. */
export interface NodeAddresses {
  name: string;
  zone: string;
  /** For users and workers. */
  listen: string;
  /** For the other controllers. */
  peer: string;
}

/** Settings that are the same for all controllers of a platform. */
export interface PlatformParams {
  zones: readonly string[];
  teams: readonly Team[];
  workers: { reportS: number; leaseS: number; cancelS: number };
  state: { rps: number; writeRps: number; valueKb: number; txnOps: number };
  cloud: { rps: number; listLagS: number };
  quota: { cores: number; ramMb: number; maxSockets: number };
}

/** The settings file of one controller, as TOML. */
export function settingsText(
  own: NodeAddresses,
  nodes: readonly NodeAddresses[],
  services: { state: string; cloud: string },
  params: PlatformParams,
): string {
  const { zones, teams, workers, state, cloud, quota } = params;
  const knownTables = nodes
    .filter(({ name }) => name !== own.name)
    .map(
      ({ name, zone, peer }) =>
        `[[known]]\nnode_name = "${name}"\nsite = "${zone}"\naddr = "${peer}"\n`,
    );
  const teamTables = teams.map(
    ({ name, cpus, cpus_max, gpus, gpus_max }) =>
      `[[params.teams]]\nname = "${name}"\ncpus = ${cpus}\ncpus_max = ${cpus_max}\n` +
      `gpus = ${gpus}\ngpus_max = ${gpus_max}\n`,
  );
  return `node_name = "${own.name}"
site = "${own.zone}"
listen = "${own.listen}"
cluster_listen = "${own.peer}"

${knownTables.join("\n")}
[services]
cloud = "${services.cloud}"
state = "${services.state}"

[params]
size = ${nodes.length}
zones = ${JSON.stringify(zones)}
clock_error_ms = 5

${teamTables.join("\n")}
[params.workers]
report_s = ${workers.reportS}
lease_s = ${workers.leaseS}
cancel_s = ${workers.cancelS}

[params.state]
rps = ${state.rps}
write_rps = ${state.writeRps}
value_kb = ${state.valueKb}
txn_ops = ${state.txnOps}

[params.cloud]
rps = ${cloud.rps}
list_lag_s = ${cloud.listLagS}

[params.quota]
cores = ${quota.cores}
ram_mb = ${quota.ramMb}
max_sockets = ${quota.maxSockets}
`;
}
