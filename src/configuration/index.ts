/**
 * Configuration that can be changed at run time: numbered revisions of teams' guarantees, limits
 * and weights, and of groups, kept in the state service and followed by every controller.
 */
export {
  type ConfigurationView,
  type ControllerRevision,
  configurationPath,
  configurationRouter,
  configurationView,
} from "./api.js";
export { Author, type ChangeRequest, type ChangeResult } from "./author.js";
export { ConfigurationClient, RevisionConflict } from "./client.js";
export {
  type BaseConfiguration,
  configurationProblem,
  differences,
  type EffectiveConfiguration,
  effectiveConfiguration,
  merge,
  warningsOf,
} from "./effective.js";
export { type ConfigurationInForce, LiveConfiguration } from "./live.js";
export {
  type ConfiguredGroup,
  type ConfiguredTeam,
  isDecision,
  isHead,
  isHistoryEntry,
  isOverrides,
  joinPieces,
  NO_OVERRIDES,
  type Overrides,
  splitIntoPieces,
} from "./records.js";
