/**
 * Runs at scale on one machine: real controllers, hollow workers that share processes, and the
 * stand-ins of `birchdale/local` in processes of their own. Loaded only by `birchdale lab`.
 */
export { labCommands } from "./commands.js";
export { History, type Violation } from "./history.js";
export type { LabResults } from "./results.js";
export { type RunOptions, runScenario } from "./run.js";
export { loadScenario, parseScenario, type Scenario, ScenarioError } from "./scenario.js";
