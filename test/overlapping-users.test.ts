import { testScenarios } from "./support/overlap-tests.js";
import { userScenarios } from "./support/overlapping-users.js";

testScenarios(userScenarios);
