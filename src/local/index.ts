/**
 * Local platform: stand-ins for the state service, the cloud, the workers and the load balancer.
 * They are HTTP servers on loopback that implement PROTOCOL. Meant for trying out birchdale, for
 * tests and for programs that embed it; controllers load none of it.
 */
export { Cloud, type CloudType, type Host } from "./cloud.js";
export { type LocalOptions, runLocal } from "./command.js";
export { LoadBalancer as Front } from "./load-balancer.js";
export { freePort, Platform, type PlatformOptions } from "./platform.js";
export { type NodeAddresses, type PlatformParams, settingsText } from "./settings-text.js";
export { jsonBytes as sizeOf, Malformed, type StateLimits, StateService } from "./state.js";
export { StateServer, type StateUse } from "./state-server.js";
export { type TaskEvent, type UploadedJob as Uploaded, Worker } from "./worker.js";
