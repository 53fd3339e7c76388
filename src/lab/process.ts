/** What runs in each process of the lab that is not a controller. */
import { HollowWorkers } from "./hollow-workers.js";
import type { Assignment, FromProcess, ToProcess } from "./messages.js";
import { CloudProcess, type RoleProcess, StateProcess } from "./services.js";
import { UsersProcess } from "./users.js";

const send = (message: FromProcess): void => {
  // The run has ended, and with it the channel.
  if (process.connected) process.send!(message);
};

function roleOf(assignment: Assignment): RoleProcess {
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

/** Serves the run that started this process, and ends with it, however it ends. */
export function serveRun(): void {
  process.once("disconnect", () => process.exit(0));
  // Ctrl-c reaches the whole group: the run ends its processes in its own order.
  process.on("SIGINT", () => undefined);
  let role: RoleProcess | null = null;
  process.on("message", (message: ToProcess) => {
    if (message.kind === "begin") {
      role = roleOf(message.assignment);
      void role.start().then((address) => send({ kind: "ready", address }));
    } else if (message.kind === "sample" && role !== null) {
      send({ kind: "sampled", figures: role.figures() });
    } else role?.take(message);
  });
}
