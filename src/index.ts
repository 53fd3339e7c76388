export { JobClient, type JobView, RequestRefused, Unanswered } from "./client/client.js";
export { type Clock, systemClock } from "./clock.js";
export {
  type ArchiveOptions,
  Controller,
  type ControllerOptions,
  type Links,
} from "./controller/index.js";
export type { Attachment, Core, Extension } from "./extension/index.js";
export { type Log, openLog } from "./log.js";
export { ControllerNode, type NodeOptions } from "./node.js";
export { loadOperators, type Operators, withPackage } from "./settings/operators.js";
export { loadSettings, parseSettings, type Settings, SettingsError } from "./settings/settings.js";
export { defaultArchive, parseTuning, type Tuning } from "./settings/tuning.js";
