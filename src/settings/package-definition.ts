import type { Extension } from "../extension/index.js";
import type { Settings } from "./settings.js";
import type { PackageSchema, RejectSettings } from "./tuning.js";

/** What an optional package exports to be enabled by the operators' settings. */
export interface PackageDefinition {
  schema: PackageSchema;
  /**
   * Checks the package's message and creates its extension; calls `refuse` if the message is
   * invalid.
   */
  createExtension(raw: unknown, settings: Settings, refuse: RejectSettings): Extension;
}
