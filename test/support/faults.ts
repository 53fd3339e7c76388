import type { Random } from "./random.js";
import type { World } from "./world.js";

/** One of the troubles that a platform has, for a while, drawn from the dice. */
export function fault(world: World, dice: Random): void {
  const n = dice.int(0, world.nodes - 1);
  const forMs = dice.int(3000, 40_000);
  const later = (run: () => void): void => {
    world.clock.after(forMs, run);
  };
  const store = world.stores[n]!;
  const workers = [...world.workers.values()];
  switch (dice.int(0, 9)) {
    case 0:
      world.crash(n);
      break;
    case 1:
      for (let all = 0; all < world.nodes; all++) world.crash(all);
      break;
    case 2:
      store.cut = true;
      later(() => {
        store.cut = false;
      });
      break;
    case 3:
      store.refused = true;
      later(() => {
        store.refused = false;
      });
      break;
    case 4:
      world.state.setOutage(true);
      world.clock.after(Math.min(forMs, 15_000), () => world.state.setOutage(false));
      break;
    case 5:
      store.loss = 0.3;
      later(() => {
        store.loss = 0;
      });
      break;
    case 6:
      world.deaf.add(n);
      later(() => world.deaf.delete(n));
      break;
    case 7:
      if (workers.length > 0) {
        const worker = dice.pick(workers);
        worker.cut = true;
        later(() => {
          worker.cut = false;
        });
      }
      break;
    case 8:
      if (workers.length > 0) {
        const worker = dice.pick(workers);
        worker.hung = true;
        later(() => {
          worker.hung = false;
        });
      }
      break;
    default:
      if (workers.length > 0) world.remove(dice.pick(workers).id);
  }
}
