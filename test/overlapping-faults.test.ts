import { testScenarios } from "./support/overlap-tests.js";
import { storeScenarios } from "./support/overlapping-faults.js";

testScenarios(storeScenarios);
