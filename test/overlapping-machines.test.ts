import { testScenarios } from "./support/overlap-tests.js";
import { machineScenarios } from "./support/overlapping-machines.js";

testScenarios(machineScenarios);
