export { JobClient, type JobView, RequestRefused, Unanswered } from "./client/client.js";
export { type Clock, systemClock } from "./clock.js";
export { Controller, type ControllerOptions, type Links } from "./controller.js";
export { type Log, openLog } from "./log.js";
export { ControllerNode, type NodeOptions } from "./node.js";
export { loadSettings, parseSettings, type Settings, SettingsError } from "./settings/settings.js";
export { loadTuning, parseTuning, type Tuning } from "./settings/tuning.js";
