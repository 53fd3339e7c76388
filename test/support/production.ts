import { execFileSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { fileURLToPath, pathToFileURL } from "node:url";
import type { Controller, ControllerOptions } from "../../src/controller/index.js";
import type { Store } from "../../src/state/store.js";

/** A build of the program that a `World` can run. */
export interface Program {
  Controller: new (options: ControllerOptions) => Controller;
  /** Wraps the store so that its errors are instances of that build's classes. */
  store(store: Store): Store;
}

const ROOT = fileURLToPath(new URL("../../../", import.meta.url));

/** The commit in production, as given in deploy/service.toml. */
export function productionCommit(): string {
  const text = readFileSync(`${ROOT}deploy/service.toml`, "utf8");
  const commit = /^production = "([0-9a-f]{40})"$/m.exec(text)?.[1];
  if (commit === undefined) throw new Error("deploy/service.toml names no production commit");
  return commit;
}

/** Whether this checkout contains the commit. */
export function hasHistory(commit: string): boolean {
  try {
    execFileSync("git", ["-C", ROOT, "cat-file", "-e", `${commit}^{commit}`], { stdio: "ignore" });
    return true;
  } catch {
    return false;
  }
}

/** Builds the sources of a commit into target-test, once. Throws if the build fails. */
export async function buildProgram(commit: string): Promise<Program> {
  const folder = `${ROOT}target-test/production-${commit}`;
  if (!existsSync(folder)) {
    const making = `${folder}.${process.pid}`;
    rmSync(making, { recursive: true, force: true });
    mkdirSync(making, { recursive: true });
    const tar = execFileSync("git", ["-C", ROOT, "archive", commit, "src", "tsconfig.json"], {
      maxBuffer: 256 * 1024 * 1024,
    });
    execFileSync("tar", ["-x", "-C", making], { input: tar });
    writeFileSync(`${making}/package.json`, '{ "type": "module" }\n');
    const tsc = `${ROOT}node_modules/typescript/bin/tsc`;
    execFileSync(process.execPath, [tsc, "-p", making, "--outDir", `${making}/target`]);
    if (existsSync(folder)) rmSync(making, { recursive: true });
    else renameSync(making, folder);
  }
  const from = (path: string): Promise<Record<string, never>> =>
    import(pathToFileURL(`${folder}/target/${path}`).href);
  const { Controller } = (await from("controller/index.js")) as unknown as Pick<
    Program,
    "Controller"
  >;
  const classes = { ...(await from("state/store.js")), ...(await from("http/client.js")) };
  return { Controller, store: (store) => translated(store, classes) };
}

/** Wraps a store: rejections become instances of the class with the same name of another build. */
function translated(store: Store, classes: Record<string, new (why: string) => Error>): Store {
  return new Proxy(store, {
    get(target, name, self) {
      const value = Reflect.get(target, name, target === self ? self : target);
      if (typeof value !== "function") return value;
      return (...asked: unknown[]) => {
        const answer = (value as (...a: unknown[]) => unknown).apply(target, asked);
        if (!(answer instanceof Promise)) return answer;
        return answer.catch((error: Error) => {
          const own = classes[error.constructor.name];
          throw own === undefined ? error : new own(error.message);
        });
      };
    },
  });
}
