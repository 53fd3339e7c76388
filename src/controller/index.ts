export { Controller } from "./controller.js";
export type { ArchiveOptions } from "./history.js";
export type { ControllerOptions, Links } from "./options.js";
export { coreRecordValidator } from "./record-kinds.js";
