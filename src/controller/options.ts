import type { Clock } from "../clock.js";
import type { Extension } from "../extension/index.js";
import type { Caller } from "../http/client.js";
import type { Log } from "../log.js";
import type { Frame } from "../peer/frames.js";
import type { Settings } from "../settings/settings.js";
import type { Tuning } from "../settings/tuning.js";
import type { Store } from "../state/store.js";
import type { ArchiveOptions } from "./history.js";

/** A controller's connections to other processes. Tests replace all of them by simulated ones. */
export interface Links {
  store: Store;
  cloud: Caller;
  /** Sends commands to a worker's `/orders`; does not wait for the answer. */
  order(address: string, body: object): void;
  /** Sends a frame to all other controllers. Delivery is not guaranteed. */
  broadcast(frame: Frame): void;
  /** Sends a frame to one other controller. Delivery is not guaranteed. */
  send(to: string, frame: Frame): void;
}

export interface ControllerOptions {
  settings: Settings;
  /** Without it, every team has weight 1. */
  tuning?: Tuning;
  /** Optional packages that the operators have enabled. */
  extensions?: readonly Extension[];
  log: Log;
  clock: Clock;
  links: Links;
  /** Identifies this run of the process; differs from run to run. */
  run: string;
  /** If set, this controller creates an archive of finished jobs when it is the leader. */
  archive?: ArchiveOptions;
  /** Called when this controller has stopped because it cannot continue. */
  fatal?(why: string): void;
}
