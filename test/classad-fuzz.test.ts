import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  Ad,
  build,
  ClassAdError,
  compile,
  defaultLimits,
  Failure,
  fold,
  fromJson,
  type Node,
  parseExpression,
  print,
  printValue,
  run,
  runReference,
  toJson,
  UNDEFINED,
} from "../src/classad/index.js";
import { planCluster, SubmitError } from "../src/submit/index.js";
import { textWorld } from "./support/submit.js";

const SEED = 20261201;

const scalars: fc.Arbitrary<Node> = fc.oneof(
  fc.bigInt({ min: -(2n ** 63n), max: 2n ** 63n - 1n }).map((n) => build.literal(n)),
  fc.bigInt({ min: -9n, max: 9n }).map((n) => build.literal(n)),
  fc.double({ noNaN: true, noDefaultInfinity: true }).map((n) => build.literal(n)),
  fc.string({ maxLength: 6, unit: "binary" }).map((s) => build.literal(s)),
  fc.boolean().map((b) => build.literal(b)),
  fc.constant(build.literal(UNDEFINED)),
  fc.constant(build.literal(new Failure("written"))),
);
const names = fc.constantFrom("a", "b", "c", "Cpus", "Arch", "odd name", "true", "x1");
const attributes = fc
  .tuple(names, fc.constantFrom("any", "my", "target", "root"))
  .map(([name, where]) => build.attribute(name, where as "any"));
const calls = fc.constantFrom(
  "strcat",
  "size",
  "isUndefined",
  "int",
  "member",
  "regexp",
  "split",
  "sum",
  "substr",
  "ifThenElse",
  "eval",
  "unparse",
  "replaceAll",
  "anyCompare",
  "quantize",
  "stringListMember",
  "versionGT",
  "nothing",
);
const binaries = fc.constantFrom(
  "||",
  "&&",
  "|",
  "^",
  "&",
  "==",
  "!=",
  "=?=",
  "=!=",
  "<",
  "<=",
  ">",
  ">=",
  "<<",
  ">>",
  ">>>",
  "+",
  "-",
  "*",
  "/",
  "%",
);

const { tree } = fc.letrec<{ tree: Node }>((tie) => ({
  tree: fc.oneof(
    { maxDepth: 5, depthIdentifier: "tree" },
    scalars,
    attributes,
    fc.tuple(tie("tree"), binaries, tie("tree")).map(([a, op, b]) => build.binary(a, op as "+", b)),
    fc
      .tuple(fc.constantFrom("-", "+", "!", "~"), tie("tree"))
      .map(([op, a]) => build.unary(op as "-", a)),
    fc
      .tuple(tie("tree"), fc.option(tie("tree")), tie("tree"))
      .map(([a, b, c]) => build.condition(a, b, c)),
    fc.array(tie("tree"), { maxLength: 3 }).map(build.list),
    fc
      .array(fc.tuple(names, tie("tree")), { maxLength: 3 })
      .map((entries) => build.record(entries.map(([name, node]) => ({ name, node })))),
    fc
      .tuple(calls, fc.array(tie("tree"), { maxLength: 3 }))
      .map(([name, args]) => build.call(name, args)),
    fc.tuple(tie("tree"), names).map(([base, name]) => build.select(base, name)),
    fc.tuple(tie("tree"), tie("tree")).map(([base, index]) => build.subscript(base, index)),
  ),
}));

const ads = fc
  .array(fc.tuple(fc.constantFrom("a", "b", "c", "Cpus", "Arch"), tree), { maxLength: 4 })
  .map((entries) => entries.map(([name, node]) => ({ name, node })));

const assertProperty = (
  property: fc.IProperty<unknown> | fc.IPropertyWithHooks<unknown>,
  numRuns: number,
): void => fc.assert(property as fc.IProperty<unknown>, { seed: SEED, numRuns });

test("classad: printed text parses, and prints the same", () => {
  assertProperty(
    fc.property(tree, (node) => {
      const text = print(node);
      assert.equal(print(parseExpression(text)), text);
    }),
    1500,
  );
});

test("classad: compiled and folded expressions have the reference's value, within the cost limits", () => {
  assertProperty(
    fc.property(tree, ads, ads, (generated, myEntries, targetEntries) => {
      // Printed and parsed, so that the tree is one that a text can give.
      const node = parseExpression(print(generated));
      const sides = () => ({ my: new Ad(myEntries), target: new Ad(targetEntries) });
      const walked = runReference(node, sides(), { now: 5 });
      const compiled = run(compile(node), sides(), { now: 5 });
      const folded = run(compile(fold(node)), sides(), { now: 5 });
      for (const { steps } of [walked, compiled, folded]) {
        // The call that exceeds the limit on steps may add the steps of one whole text.
        assert.ok(steps <= defaultLimits.steps + defaultLimits.resultSize, `${steps} steps`);
      }
      assert.equal(printValue(compiled.value), printValue(walked.value));
      assert.equal(printValue(folded.value), printValue(walked.value));
    }),
    1500,
  );
});

test("classad: a JSON round trip gives the same ad", () => {
  assertProperty(
    fc.property(ads, (entries) => {
      const ad = new Ad(
        entries.map(({ name, node }) => ({ name, node: parseExpression(print(node)) })),
      );
      assert.equal(String(fromJson(JSON.parse(JSON.stringify(toJson(ad))))), String(ad));
    }),
    500,
  );
});

test("classad: the parser throws nothing but ClassAdError, whatever the text", () => {
  const words = fc.constantFrom(
    "a",
    "1",
    "1.5",
    '"x"',
    "'q",
    "(",
    ")",
    "[",
    "]",
    "{",
    "}",
    "&&",
    "||",
    "?",
    ":",
    "=?=",
    "-",
    "!",
    ".",
    ",",
    ";",
    "=",
    "is",
    "undefined",
    "\n",
    "//",
    "/*",
    "*/",
    "\\",
    "0x",
    "9K",
    "\u0000",
    "é",
    "$",
  );
  const texts = fc.oneof(
    fc.string({ unit: "binary", maxLength: 40 }),
    fc.array(words, { maxLength: 25 }).map((list) => list.join(" ")),
    fc.array(words, { maxLength: 25 }).map((list) => list.join("")),
  );
  assertProperty(
    fc.property(texts, (text) => {
      try {
        const node = parseExpression(text);
        assert.equal(print(parseExpression(print(node))), print(node));
        runReference(node, {});
      } catch (error) {
        if (!(error instanceof ClassAdError)) throw error;
        assert.ok(error.line >= 1 && error.column >= 1);
      }
    }),
    3000,
  );
});

test("submit files: the reader throws nothing but SubmitError, whatever the bytes", () => {
  const lines = fc.constantFrom(
    "executable = run",
    "accounting_group = red",
    "queue",
    "queue 3",
    "queue x in (a b)",
    "queue x from (",
    ")",
    "if true",
    "if defined x",
    "else",
    "endif",
    "include : job.sub",
    "x = $(x) 1",
    "x = $(y)",
    "y = $(x)",
    "request_memory = $INT(x)",
    "request_cpus = 2",
    "+A = B",
    "MY.B = A + 1",
    "requirements = A > $(x:1)",
    "rank = (",
    "arguments = \"a 'b'\"",
    "z @=end",
    "@end",
    "# c",
    "\\",
    "a = \\",
    "queue 2 x,y from [::2] (",
    "1, 2",
    "priority = $RANDOM_INTEGER(1, 5)",
    "hold = maybe",
    "$(a)",
    "=",
    "+ = 1",
    "cron_hour = 1",
  );
  const files = fc.oneof(
    fc.uint8Array({ maxLength: 80 }),
    fc.array(lines, { maxLength: 14 }).map((list) => list.join("\n")),
    fc
      .array(lines, { maxLength: 10 })
      .map((list) => `executable = run\naccounting_group = red\n${list.join("\n")}\nqueue`),
  );
  let accepted = 0;
  assertProperty(
    fc.property(files, (file) => {
      try {
        planCluster({
          file: "job.sub",
          world: textWorld({ "job.sub": file }),
          cluster: 1,
          team: null,
          user: "ann",
          timeZone: "Etc/UTC",
          maxProcs: 100,
        });
        accepted++;
      } catch (error) {
        if (!(error instanceof SubmitError)) throw error;
        assert.ok(error.place.line >= 1 && error.place.column >= 1);
      }
    }),
    1500,
  );
  assert.ok(accepted > 20, `only ${accepted} files were accepted`);
});
