/**
 * Configuration that changes while serving: numbered revisions of teams' guarantees, limits and
 * weights, and of groups, kept in the state service and followed by every controller.
 */
export {
  type ConfigurationView,
  type ControllerRevision,
  configurationPath,
  configurationRouter,
  viewOf,
} from "./api.js";
export { Author, type ChangeRequest, type ChangeResult } from "./author.js";
export { ConfigurationClient, Overtaken } from "./client.js";
export {
  type BaseConfiguration,
  differences,
  type EffectiveConfiguration,
  effectiveOf,
  faultOf,
  merge,
  warningsOf,
} from "./effective.js";
export { type DecidingBy, LiveConfiguration } from "./live.js";
export {
  type ConfiguredGroup,
  type ConfiguredTeam,
  divide,
  isDecision,
  isHead,
  isHistoryEntry,
  isOverrides,
  join,
  NO_OVERRIDES,
  type Overrides,
} from "./records.js";
