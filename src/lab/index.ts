/**
 * Simulates deployments at scale on one machine: real controllers, hollow workers that share
 * processes, and the stand-ins of `birchdale/local` in separate processes. Loaded only by
 * `birchdale lab`.
 */
export { labCommands } from "./commands.js";
export { History, type Violation } from "./history.js";
export type { LabResults } from "./results.js";
export { type RunOptions, runScenario } from "./run.js";
export { loadScenario, parseScenario, type Scenario, ScenarioError } from "./scenario.js";
