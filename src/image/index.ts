/**
 * Images of all data in the state service: taken while the service runs, read and checked offline,
 * and restored into an empty service. Used by the command line only; `docs/state.md` explains why an
 * image is consistent and what a restore can lose.
 */
export { type CheckOptions, checkImage, type Finding } from "./check.js";
export { ChangesTooFast, collect, type Image, PREFIXES } from "./collect.js";
export { imageCommands, restoreFile } from "./commands.js";
export { ImageError, readImage, writeImage } from "./image-file.js";
export { finishedJobs, type Overview, overview } from "./overview.js";
export { exportFinished } from "./parquet-export.js";
export { type RepairResult, repairImage } from "./repair.js";
export { RestoreRefused, restorable, restoreImage, tokensAbove } from "./restore.js";
