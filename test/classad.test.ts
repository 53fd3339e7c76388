import assert from "node:assert/strict";
import { test } from "node:test";
import {
  Ad,
  ClassAdError,
  clauses,
  defaultLimits,
  Expression,
  Failure,
  fromJson,
  parseExpression,
  print,
  printValue,
  runReference,
  toJson,
} from "../src/classad/index.js";

const NOW = 1_796_144_400;

const value = (text: string, my?: Ad, target?: Ad): string => {
  const expression = Expression.parse(text);
  const sides = { my: my ?? null, target: target ?? null };
  const compiled = printValue(expression.evaluate(sides, { now: NOW }).value);
  // The reference implementation has to give the same value in each case.
  const walked = runReference(expression.node, sides, { now: NOW }).value;
  assert.equal(printValue(walked), compiled, `reference of ${text}`);
  return compiled;
};

/** Expressions and their values according to the language's description, by group. */
const cases: Record<string, [string, string][]> = {
  numbers: [
    ["1 + 2 * 3", "7"],
    ["(1 + 2) * 3", "9"],
    ["7 / 2", "3"],
    ["-7 / 2", "-3"],
    ["7 % 3", "1"],
    ["-7 % 3", "-1"],
    ["7.0 / 2", "3.5"],
    ["1 / 0", "error"],
    ["1.0 / 0", "error"],
    ["1 % 0", "error"],
    ["2 ? 1 : 0", "1"],
    ["9223372036854775807 + 1", "-9223372036854775808"],
    ["-9223372036854775808", "-9223372036854775808"],
    ["true + true", "2"],
    ["1e3", "1000.0"],
    [".5", "0.5"],
    ["0x1F + 010", "39"],
    ["2K", "2048"],
    ["1 == 1.0", "true"],
    ["1 =?= 1.0", "false"],
    ["9007199254740993 == 9007199254740992.0", "false"],
    ['"1" + 1', "error"],
  ],
  "three-valued logic": [
    ["true && undefined", "undefined"],
    ["false && undefined", "false"],
    ["undefined && false", "false"],
    ["undefined || true", "true"],
    ["undefined || false", "undefined"],
    ["true || error", "true"],
    ["error || true", "error"],
    ["false && error", "false"],
    ["undefined && error", "error"],
    ["!undefined", "undefined"],
    ["!error", "error"],
    ["!0", "true"],
    ['"a" || true', "error"],
    ["undefined == undefined", "undefined"],
    ["undefined =?= undefined", "true"],
    ["error =?= error", "true"],
    ["nothing =!= undefined", "false"],
    ["undefined + error", "error"],
    ["undefined < 1", "undefined"],
    ["undefined ? 1 : 2", "undefined"],
    ["undefined ?: 2", "2"],
    ["error ?: 2", "error"],
    ["1 ?: 2", "1"],
    ['"x" ? 1 : 2', "error"],
  ],
  strings: [
    ['"Linux" == "LINUX"', "true"],
    ['"Linux" =?= "LINUX"', "false"],
    ['"a" < "B"', "true"],
    ['strcat("a", 1, 2.5, true)', '"a12.5true"'],
    ['substr("abcdef", 1, 3)', '"bcd"'],
    ['substr("abcdef", -2)', '"ef"'],
    ['substr("abcdef", 1, -1)', '"bcde"'],
    ['toUpper("aé")', '"AÉ"'],
    ['size("abc")', "3"],
    ['strcmp("a", "b")', "-1"],
    ['stricmp("A", "a")', "0"],
    ['split("a, b  c")', '{ "a", "b", "c" }'],
    ['join("-", {"a", "b"})', '"a-b"'],
    ['join("-", "a", "b")', '"a-b"'],
    ['splitUserName("u@h")', '{ "u", "h" }'],
    ['splitSlotName("h")', '{ "", "h" }'],
    ['"a\\"b\\n" == strcat("a", "\\"", "b", "\\012")', "true"],
    ['versionGT("8.10.1", "8.9")', "true"],
    ['versioncmp("1.2", "1.2.0")', "-1"],
    ['version_in_range("9.1", "9.0", "9.2")', "true"],
  ],
  "regular expressions": [
    ['regexp("^b.g$", "BIG", "i")', "true"],
    ['regexp("b", "abc")', "true"],
    ['regexp("b", "abc", "f")', "false"],
    ['regexps("(.*)@(.*)", "u@h", "\\\\2-\\\\1")', '"h-u"'],
    ['replace("a", "banana", "o")', '"bonana"'],
    ['replaceAll("a", "banana", "o")', '"bonono"'],
    ['replaceAll("(.)a", "banana", "$1_")', '"b_n_n_"'],
    ['regexpMember("^a", {"b", "ab"})', "true"],
    ['stringList_regexpMember("^x", "a, b")', "false"],
    ['regexp("(", "a")', "error"],
    ['regexp("(a)\\\\1", "aa")', "error"],
    ['regexp("((a{100}){100}){100}", "a")', "error"],
    ['regexp("a", "a", "q")', "error"],
    ['regexp("a", undefined)', "undefined"],
  ],
  lists: [
    ["{1, 2, 3}[1]", "2"],
    ["{1, 2}[5]", "error"],
    ["{1, 2}[-1]", "error"],
    ['member("A", {"a"})', "true"],
    ['identicalMember("A", {"a"})', "false"],
    ["member(1, {undefined, 1})", "true"],
    ['anyCompare("<", {1, 5}, 2)', "true"],
    ['allCompare("<", {1, 5}, 2)', "false"],
    ['allCompare("<", {}, 2)', "true"],
    ["sum({1, 2.5, undefined})", "3.5"],
    ["sum({})", "0"],
    ["avg({1, 2})", "1.5"],
    ["min({3, 1.5})", "1.5"],
    ["max({})", "undefined"],
    ["size({1, 2})", "2"],
    ['stringListSize("a, b")', "2"],
    ['stringListSum("1, 2.5")', "3.5"],
    ['stringListMax("1, 3, 2")', "3"],
    ['stringListMember("b", "a, b")', "true"],
    ['stringListMember("B", "a, b")', "false"],
    ['stringListIMember("B", "a, b")', "true"],
    ['stringListSubsetMatch("a", "a, b")', "true"],
    ['stringListsIntersect("a, c", "b")', "false"],
    ["countMatches(x > 1, {[x = 1], [x = 2], [x = 3]})", "2"],
    ["evalInEachContext(x, {[x = 1], [y = 2]})", "{ 1, undefined }"],
  ],
  types: [
    ["isUndefined(nothing)", "true"],
    ["isError(1 / 0)", "true"],
    ["isInteger(1.0)", "false"],
    ["isList({})", "true"],
    ["isClassAd([])", "true"],
    ['int("12")', "12"],
    ["int(-3.7)", "-3"],
    ['int("x")', "error"],
    ["real(1)", "1.0"],
    ["string({1, true})", '"{ 1, true }"'],
    ['bool("TRUE")', "true"],
    ["floor(-1.5)", "-2"],
    ["ceiling(1.2)", "2"],
    ["round(2.5)", "2"],
    ["quantize(7, 4)", "8"],
    ["quantize(3, {1, 4, 9})", "4"],
    ["pow(2, 10)", "1024"],
    ["random()", "error"],
    ["noSuchFunction(1)", "error"],
    ["strcat()", '""'],
    ["size()", "error"],
  ],
  "nested ads": [
    ["[a = 1; b = a + 1].b", "2"],
    ["[a = 1].b", "undefined"],
    ["[a = [b = c]; c = 7].a.b", "7"],
    ["[a = 1; b = [a = 2; c = a; d = .a]].b.c", "2"],
    ['[a = 5]["A"]', "5"],
    ["5 .a", "error"],
    ["[a = b; b = a].a", "error"],
  ],
  times: [
    ["time()", String(NOW)],
    [
      'absTime("2026-12-01T10:00:00+01:00") - absTime("2026-12-01T08:00:00Z")',
      'relTime("01:00:00")',
    ],
    ['relTime("1+02:03:04") * 2', 'relTime("2+04:06:08")'],
    ['absTime("2026-02-31")', "error"],
    ['formatTime(0, "%Y-%m-%d %H:%M:%S %%")', '"1970-01-01 00:00:00 %"'],
    ['formatTime(0, "%Q")', "error"],
    ["interval(93784)", '"1+02:03:04"'],
    ['getHours(absTime("2026-12-01T10:00:00+01:00"))', "10"],
    ['inHours(relTime("01:30:00"))', "1.5"],
    ['splitTime(relTime("1+00:00:05")).Seconds', "5"],
    ["getDayOfWeek(0)", "4"],
  ],
  "evaluation of text": [
    ['eval("1 + 1")', "2"],
    ['eval("1 +")', "error"],
    ["unparse(a + b)", '"a + b"'],
    ["ifThenElse(true, 1, 1 / 0)", "1"],
    ["ifThenElse(undefined, 1, 2)", "undefined"],
  ],
  bits: [
    ["6 & 3", "2"],
    ["6 | 3", "7"],
    ["6 ^ 3", "5"],
    ["~0", "-1"],
    ["1 << 4", "16"],
    ["-16 >> 2", "-4"],
    ["-1 >>> 60", "15"],
    ["true & false", "false"],
    ["1.0 & 1", "error"],
  ],
};

for (const [group, rows] of Object.entries(cases)) {
  test(`classad: ${group}`, () => {
    for (const [text, wanted] of rows) assert.equal(value(text), wanted, text);
  });
}

test("classad: names resolve in MY, then in TARGET, whose expressions see the two ads reversed", () => {
  const my = Ad.parse("[Want = 4; Both = 1; Mine = Theirs]");
  const target = Ad.parse("[Cpus = 8; Both = 2; Theirs = Want + 1; Start = TARGET.Want < MY.Cpus]");
  const rows: [string, string][] = [
    ["cpus", "8"],
    ["CPUS >= want", "true"],
    ["Both", "1"],
    ["TARGET.Both", "2"],
    ["MY.Cpus", "undefined"],
    ["TARGET.Want", "undefined"],
    ["Mine", "5"],
    ["TARGET.Start", "true"],
    [".Want", "4"],
  ];
  for (const [text, wanted] of rows) assert.equal(value(text, my, target), wanted, text);
});

test("classad: an attribute that refers to itself, directly or indirectly, is ERROR", () => {
  const my = Ad.parse('[A = B; B = A; C = C + 1; D = TARGET.E; F = eval("F")]');
  const target = Ad.parse("[E = TARGET.D]");
  for (const text of ["A", "B", "C", "D", "F"])
    assert.equal(value(text, my, target), "error", text);
  assert.equal(value("isError(A)", my, target), "true");
});

test("classad: an expression that exceeds the cost limits is ERROR", () => {
  const doubling = new Ad();
  for (let i = 0; i < 60; i++) doubling.set(`a${i}`, parseExpression(`a${i + 1} + a${i + 1}`));
  doubling.put("a60", 1n);
  const growing = Ad.parse(
    `[x = strcat(y, y, y, y); y = strcat(z, z, z, z); z = "${"a".repeat(20_000)}"]`,
  );
  const longChain = new Ad();
  for (let i = 0; i < 1000; i++) longChain.set(`b${i}`, parseExpression(`b${i + 1}`));
  const rows: [string, Ad][] = [
    ["a0", doubling],
    ["x", growing],
    ["b0", longChain],
    [`regexp("(x+x+)+y", "${"x".repeat(5000)}") || a0`, doubling],
  ];
  for (const [text, my] of rows) {
    const { value: found, steps } = Expression.parse(text).evaluate({ my });
    assert.ok(found instanceof Failure, text);
    assert.ok(steps <= defaultLimits.steps + 1, `${text}: ${steps} steps`);
  }
  // No enclosing expression can hide that a limit was exceeded.
  assert.equal(value("isError(a0)", doubling), "error");
  assert.equal(value("true || a0", doubling), "true");
});

test("classad: a syntax error gives line, column and what was expected", () => {
  const rows: [string, string][] = [
    ["1 +", "1:4: expected a value, a name, '.', '(', '{' or '[', found the end"],
    ["(1", "1:3: expected ')', found the end"],
    ['"abc', "1:1: this quote is not closed"],
    ["f(1,,2)", "1:5: expected a value, a name, '.', '(', '{' or '[', found ','"],
    ["a $ b", "1:3: unexpected character '$'"],
    ["1 2", "1:3: expected an operator or the end, found '2'"],
    ["a &&\n  b ||", "2:7: expected a value, a name, '.', '(', '{' or '[', found the end"],
    ["", "1:1: expected a value, a name, '.', '(', '{' or '[', found the end"],
    ["99999999999999999999", "1:1: an integer has at most 64 bits"],
    [`${"(".repeat(10_000)}1${")".repeat(10_000)}`, "1:101: nested more than 100 deep"],
    [`${"!".repeat(10_000)}a`, "1:10001: nested more than 100 deep"],
    [`a${".b".repeat(10_000)}`, "1:201: nested more than 100 deep"],
    [`a${" ? 1 : a".repeat(5000)}`, "1:797: nested more than 100 deep"],
    ["x".repeat(70_000), "1:1: longer than 65536 characters"],
  ];
  for (const [text, wanted] of rows) {
    assert.throws(
      () => parseExpression(text),
      (error) => error instanceof ClassAdError && error.message === wanted,
      `${text.slice(0, 40)}: ${wanted}`,
    );
  }
});

test("classad: an oversized pattern is rejected before it is compiled", () => {
  const rows: [string, string][] = [
    [`((${"ab".repeat(200)}){30}){33}`, "pattern has too many nested repeats"],
    ["((a{100}){100}){100}", "pattern has too many nested repeats"],
    [`(${"a|b".repeat(342)})`, "pattern is longer than 1024 characters"],
    ["a{3,5}b{10}", ""],
  ];
  for (const [pattern, reason] of rows) {
    const { value: found } = Expression.parse("regexp(p, s)").evaluate({
      my: new Ad().put("p", pattern).put("s", "aaab"),
    });
    assert.equal(found instanceof Failure ? found.reason : "", reason, pattern.slice(0, 30));
  }
});

test("classad: a chain of thousands of clauses is one level deep", () => {
  const text = Array.from({ length: 4000 }, (_, i) => `m == "n${i}"`).join(" || ");
  assert.equal(value(text, Ad.parse('[m = "n3999"]')), "true");
  assert.equal(value(`1${" + 1".repeat(15_000)}`), "15001");
});

test("classad: canonical text has the parentheses that are needed, and no others", () => {
  const rows: [string, string][] = [
    ["((a)&&(b))||c", "a && b || c"],
    ["a&&(b||c)", "a && (b || c)"],
    ["(a+b)-(c-d)", "a + b - (c - d)"],
    ["-(a+b)", "-(a + b)"],
    ["(a?b:c)?d:e", "(a ? b : c) ? d : e"],
    ["a?b:(c?d:e)", "a ? b : c ? d : e"],
    ["(a ?: b) ?: c", "(a ?: b) ?: c"],
    ["a is undefined", "a =?= undefined"],
    ["my.x+target.y", "MY.x + TARGET.y"],
    ["'odd name'", "'odd name'"],
    ["'true'", "'true'"],
    ["(1).a", "(1).a"],
    ["[a=1;;b=[c=2]]", "[ a = 1; b = [ c = 2 ] ]"],
    ["f ( a ,b )", "f(a, b)"],
  ];
  for (const [text, wanted] of rows) assert.equal(print(parseExpression(text)), wanted, text);
});

test("classad: reads() finds all that an expression reads, also through its own ad", () => {
  const my = Ad.parse("[Mine = Arch == Wanted; Wanted = 1; Loop = Loop]");
  const found = Expression.parse("Mine && TARGET.Cpus > time() && Loop && noSuch(1)").reads(my);
  assert.deepEqual([...found.target].sort(), ["arch", "cpus"]);
  assert.deepEqual([...found.my].sort(), ["loop", "mine", "wanted"]);
  assert.equal(found.time, true);
  assert.deepEqual([...found.unknownFunctions], ["noSuch"]);
  assert.equal(Expression.parse('eval("x")').reads().anything, true);
  const parts = clauses(parseExpression("a && (b || c) && (d && e)")).map(print);
  assert.deepEqual(parts, ["a", "b || c", "d", "e"]);
});

test("classad: a JSON round trip keeps integers, reals, expressions and text distinct", () => {
  const text =
    '[ a = 1; b = 1.0; c = "x"; d = a + 1; e = { 1, "y" }; f = [ g = undefined ]; h = "/Expr(1)/"; i = 9007199254740993; j = 2.5; __proto__ = 3 ]';
  const json = toJson(Ad.parse(text));
  assert.deepEqual(JSON.parse(JSON.stringify(json)).d, "/Expr(a + 1)/");
  assert.equal(String(fromJson(JSON.parse(JSON.stringify(json)))), text);
  assert.throws(() => fromJson([1]), ClassAdError);
  assert.throws(() => fromJson({ a: "/Expr(1 +)/" }), ClassAdError);
});

test("classad: parseLines reads one attribute per line and gives the line of an error", () => {
  const ad = Ad.parseLines(
    '# a machine\nArch = "X86_64"\r\nMemory=2048\n\nStart = Memory == 2048\n',
  );
  assert.equal(ad.toLines(), 'Arch = "X86_64"\nMemory = 2048\nStart = Memory == 2048\n');
  assert.throws(
    () => Ad.parseLines("A = 1\nB = 1 +\n"),
    (error) => error instanceof ClassAdError && error.line === 2 && error.column === 8,
  );
  assert.throws(() => Ad.parseLines("A == 1"), ClassAdError);
});
