/**
 * Images of all that the state service keeps: taken while the service runs, checked and read
 * without it, and put into an empty one. Used by the command line only; `docs/state.md` explains
 * how an image is consistent and what a restore can lose.
 */
export { type CheckOptions, checkImage, type Finding } from "./check.js";
export { collect, type Image, PREFIXES, TooFast } from "./collect.js";
export { imageCommands, restoreFile } from "./commands.js";
export { exportFinished } from "./export.js";
export { ImageError, readImage, writeImage } from "./file.js";
export { type Mended, mendImage } from "./mend.js";
export { RestoreRefused, restorable, restoreImage, tokensAbove } from "./restore.js";
export { finished, type Overview, overview } from "./show.js";
