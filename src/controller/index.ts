export { Controller, type ControllerOptions, type Links } from "./controller.js";
