/**
 * A platform to run on: stand-ins for the state service, the cloud, the workers and the load
 * balancer, real HTTP servers on loopback that speak what PROTOCOL says. For trying birchdale, for
 * tests, and for programs that embed it; nothing of it is loaded by a controller.
 */
export { Cloud, type CloudType, type Host } from "./cloud.js";
export { type LocalOptions, runLocal } from "./command.js";
export { Front } from "./front.js";
export { freePort, Platform, type PlatformOptions } from "./platform.js";
export { type NodeAddresses, type PlatformParams, settingsText } from "./settings-text.js";
export { Malformed, type StateLimits, StateService, sizeOf } from "./state.js";
export { StateServer, type StateUse } from "./state-server.js";
export { type TaskEvent, type Uploaded, Worker } from "./worker.js";
