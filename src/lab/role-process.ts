/** Entry point of the lab's child processes other than controllers. */
import { HollowWorkers } from "./hollow-workers.js";
import type { Assignment, FromProcess, ToProcess } from "./messages.js";
import { CloudProcess, type RoleProcess, StateProcess } from "./stand-in-processes.js";
import { UsersProcess } from "./users.js";

const send = (message: FromProcess): void => {
  // The channel is closed once the run has ended.
  if (process.connected) process.send!(message);
};

function createRole(assignment: Assignment): RoleProcess {
  switch (assignment.role) {
    case "state":
      return new StateProcess(assignment);
    case "cloud":
      return new CloudProcess(assignment, send);
    case "workers":
      return new HollowWorkers(assignment, send);
    case "users":
      return new UsersProcess(assignment, send);
  }
}

/**
 * Handles messages of the run that started this process; exits when that run ends for any reason.
 */
export function runRoleProcess(): void {
  process.once("disconnect", () => process.exit(0));
  // Ctrl-C signals the whole process group; ignored, because the run ends its processes in order.
  process.on("SIGINT", () => undefined);
  let role: RoleProcess | null = null;
  process.on("message", (message: ToProcess) => {
    if (message.kind === "begin") {
      role = createRole(message.assignment);
      void role.start().then((address) => send({ kind: "ready", address }));
    } else if (message.kind === "sample" && role !== null) {
      send({ kind: "sampled", figures: role.figures() });
    } else role?.onMessage(message);
  });
}
