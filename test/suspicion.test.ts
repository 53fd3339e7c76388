import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { OwnedParts } from "../src/controller/owned-parts.js";
import type { Reply } from "../src/http/server.js";
import { rankOwners, requiredStableMs, type Vacancy } from "../src/membership/owner-ranking.js";
import type { PartContext } from "../src/part/context.js";
import type { Job } from "../src/part/job.js";
import type { Pass } from "../src/part/placement.js";
import { Rebalancing } from "../src/part/rebalancing.js";
import type { Summary } from "../src/part/summary.js";
import { parseOperators } from "../src/settings/operators.js";
import { SettingsError } from "../src/settings/settings.js";
import {
  ailing,
  type Cluster,
  Intervals,
  Lateness,
  type Peer,
  readTiming,
  refuteMs,
  strayQuorum,
  suspicious,
  type Testimony,
  verdict,
} from "../src/suspicion/index.js";
import { Sensed } from "../src/suspicion/peer-state.js";
import { PlacementConstraints } from "../src/workers/placement-constraints.js";
import { FakeClock } from "./support/clock.js";
import { quiet } from "./support/common.js";
import { settingsFor } from "./support/platform-settings.js";

const LEASE = 12_000;
const timing = readTiming({}, { leaseS: 12, reportS: 2 }, (why) => assert.fail(why));
const WELL = { lateMs: 0, contactMs: 100, valid: true, answers: true };

const cluster = (more: Partial<Cluster> = {}): Cluster => ({
  zone: "a",
  zones: ["a", "b"],
  size: 5,
  own: WELL,
  ...more,
});
const says = (more: Partial<Testimony> = {}): Testimony => ({
  from: "n2",
  zone: "b",
  silentMs: LEASE,
  closed: false,
  strays: 0,
  fit: true,
  ageMs: 0,
  ...more,
});
const peer = (more: Partial<Peer> = {}): Peer => ({
  name: "n1",
  zone: "b",
  present: true,
  able: true,
  silentMs: 0,
  unlikelyMs: 0,
  closed: false,
  machines: 40,
  strays: 0,
  testimonies: [],
  ...more,
});

const suspicions: [
  name: string,
  peer: Partial<Peer>,
  own: Partial<Cluster["own"]>,
  string | null,
][] = [
  ["heard just now", {}, {}, null],
  ["silent", { silentMs: LEASE / 12 }, {}, "silent"],
  ["silent for less", { silentMs: LEASE / 13 }, {}, null],
  ["silent, connection closed", { silentMs: LEASE / 24, closed: true }, {}, "closed"],
  ["often silent for so long", { silentMs: LEASE / 12, unlikelyMs: LEASE / 8 }, {}, null],
  ["silent beyond all habit", { silentMs: LEASE / 6, unlikelyMs: LEASE }, {}, "silent"],
  ["not there at all", { silentMs: LEASE, present: false }, {}, null],
  [
    "heard, but left by half of its machines",
    { strays: 5, testimonies: [says({ strays: 15 })] },
    {},
    "workers",
  ],
  ["left by some machines only", { strays: 4, testimonies: [says({ strays: 15 })] }, {}, null],
  ["a new run, left by machines of the one before", { strays: 9, machines: 0 }, {}, null],
  ["left by both of its machines", { strays: 2, machines: 2 }, {}, "workers"],
  ["silent, and I am a little late", { silentMs: LEASE / 12 }, { lateMs: 300 }, null],
  ["silent for long, and I am a little late", { silentMs: LEASE / 6 }, { lateMs: 300 }, "silent"],
  ["silent, and I stood still", { silentMs: LEASE }, { lateMs: LEASE / 4 }, null],
  ["silent, and I do not hear the store", { silentMs: LEASE }, { contactMs: LEASE }, null],
  ["silent, and my own lease may have ended", { silentMs: LEASE }, { valid: false }, null],
];
for (const [name, given, own, ground] of suspicions) {
  test(`suspicion: ${name}: ${ground ?? "none"}`, () => {
    const of = cluster({ own: { ...WELL, ...own } });
    assert.equal(suspicious(peer(given), of, timing), ground);
  });
}

type Trial = Partial<Peer> & {
  ground?: "closed" | "silent" | "workers";
  ageMs?: number;
  well?: number;
};
const silent = { silentMs: LEASE / 4, testimonies: [says()] };
const verdicts: [name: string, given: Trial, cluster: Partial<Cluster>, why: string | null][] = [
  ["silent to me and to one in its zone", silent, {}, null],
  ["silent to me alone", { ...silent, testimonies: [] }, {}, "nobody else says so"],
  [
    "heard by another",
    { ...silent, testimonies: [says(), says({ silentMs: 100 })] },
    {},
    "n2 hears it",
  ],
  [
    "all witnesses in my zone",
    { ...silent, testimonies: [says({ zone: "a" })] },
    {},
    "all witnesses are in one zone",
  ],
  [
    "all in my zone, and its machines come to me",
    { ...silent, strays: 4, testimonies: [says({ zone: "a" })] },
    {},
    null,
  ],
  ["one zone only", { ...silent, testimonies: [says({ zone: "a" })] }, { zones: ["a"] }, null],
  [
    "a witness who is not well",
    { ...silent, testimonies: [says({ fit: false })] },
    {},
    "nobody else says so",
  ],
  [
    "an old testimony",
    { ...silent, testimonies: [says({ ageMs: LEASE / 8 })] },
    {},
    "nobody else says so",
  ],
  ["it still has time", { ...silent, ageMs: LEASE / 24 }, {}, "it still has time to refute"],
  ["heard since it was accused", { ...silent, silentMs: 200 }, {}, "it has been heard since"],
  ["half of all are silent", { ...silent, well: 2 }, {}, "only 2 of 5 are heard"],
  ["one of two", { ...silent, well: 1 }, { size: 2 }, "only 1 of 2 are heard"],
  [
    "I am not well",
    silent,
    { own: { ...WELL, answers: false } },
    "this controller is not well itself",
  ],
  [
    "its machines left, though it talks",
    { ground: "workers", strays: 9, testimonies: [says({ silentMs: 10, strays: 11 })] },
    {},
    null,
  ],
  [
    "its machines came back",
    { ground: "workers", testimonies: [says({ strays: 4 })] },
    {},
    "it has been heard since",
  ],
];
for (const [
  name,
  { ground = "silent", ageMs = LEASE / 6, well = 4, ...given },
  of,
  why,
] of verdicts) {
  test(`verdict: ${name}: ${why ?? "yes"}`, () => {
    const outcome = verdict({ peer: peer(given), ground, ageMs, well }, cluster(of), timing);
    assert.equal(outcome.ok ? null : outcome.why, why);
  });
}

test("verdict: none while they are switched off", () => {
  const off = { ...timing, verdicts: false };
  const found = { peer: peer(silent), ground: "silent" as const, ageMs: LEASE, well: 4 };
  assert.equal(verdict(found, cluster(), off).ok, false);
});

test("suspicion: who has few machines gets time for one of them to report", () => {
  assert.equal(refuteMs(1, "silent", timing), 2500);
  assert.equal(refuteMs(1, "closed", timing), 1250);
  assert.equal(refuteMs(0, "silent", timing), LEASE / 12);
  assert.equal(refuteMs(200, "closed", timing), LEASE / 24);
  assert.equal(strayQuorum(140), 70);
  assert.equal(strayQuorum(1), 1);
});

test("suspicion: a controller's own lateness is remembered for a while, and no longer", () => {
  const late = new Lateness(2000);
  late.note(10_000, 900);
  assert.ok(ailing({ ...WELL, lateMs: late.worst() }, timing) > 0);
  late.note(11_400, 0);
  assert.equal(late.worst(), 900);
  late.note(12_600, 0);
  assert.equal(late.worst(), 0);
});

test("suspicion: each refutation in a row doubles the time until the next accusation", () => {
  const sensed = new Sensed("n1", "a", timing);
  const waits = [0, 1, 2, 3].map((n) => {
    sensed.refuted(n * 1000);
    return sensed.notBefore - n * 1000;
  });
  assert.deepEqual(
    waits,
    [1, 2, 4, 8].map((times) => (times * LEASE) / 2),
  );
  sensed.refuted(1e9);
  assert.equal(sensed.notBefore - 1e9, LEASE / 2, "long ago");
});

test("suspicion: what was sensed of one run is not held against the next", () => {
  const sensed = new Sensed("n1", "a", timing);
  sensed.heard(1000);
  sensed.closed = true;
  sensed.strayed("m1", { session: 1, seq: 5 }, 1500);
  sensed.said("n2", { zone: "a", silentMs: 900, closed: true, strays: 3, fit: true, at: 1500 });
  sensed.anew(2000);
  assert.deepEqual([sensed.heardAt, sensed.closed, sensed.strays(2000)], [2000, false, 0]);
  assert.deepEqual(sensed.testimonies(2000), []);
});

test("suspicion: a copy of a report, however late, is no witness; the machine itself is one again", () => {
  const sensed = new Sensed("n1", "a", timing);
  const count = (session: number, seq: number, now: number): number => {
    sensed.strayed("m1", { session, seq }, now);
    return sensed.strays(now);
  };
  const late = 1000 + 3 * LEASE;
  assert.deepEqual(
    [
      count(1, 5, 1000),
      count(1, 5, late),
      count(1, 4, late),
      count(1, 6, late),
      count(2, 1, 2 * late),
    ],
    [1, 0, 0, 1, 1],
  );
});

test("suspicion: phi grows with silence, and what was long ago fades", () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 3000 }), { minLength: 60, maxLength: 300 }),
      (seen) => {
        const intervals = new Intervals(3000);
        for (const ms of seen) intervals.add(ms);
        let last = 0;
        for (let ms = 0; ms <= 9000; ms += 250) {
          const phi = intervals.phi(ms);
          assert.ok(phi >= last - 1e-9, `phi of ${ms}: ${phi} after ${last}`);
          last = phi;
        }
        const far = intervals.silence(4);
        assert.ok(Math.abs(intervals.phi(far) - 4) < 1e-6);
      },
    ),
    { seed: 7, numRuns: 60 },
  );
  const intervals = new Intervals(3000);
  for (let n = 0; n < 200; n++) intervals.add(2500);
  for (let n = 0; n < 1200; n++) intervals.add(500);
  assert.ok(intervals.at(99) < 600, "from before two generations");
  assert.equal(new Intervals(3000).phi(1e6), 0, "nothing is known yet");
});

/**
 * Random networks: any links between controllers, and between zones of machines and controllers, may
 * be cut; one controller may have failed. By the same functions that the failure detector uses.
 */
const network = fc.record({
  zones: fc.array(fc.constantFrom("a", "b", "c"), { minLength: 2, maxLength: 15 }),
  accuser: fc.nat(),
  suspect: fc.nat(),
  /** Which links between controllers the fault of the accuser takes away. */
  hole: fc.array(fc.boolean(), { minLength: 15, maxLength: 15 }),
});
test("verdict: never on one that serves, when the only fault is the accuser's own", () => {
  fc.assert(
    fc.property(network, fc.boolean(), ({ zones, accuser, suspect, hole }, all) => {
      const size = zones.length;
      const [me, x] = [accuser % size, suspect % size];
      fc.pre(me !== x);
      const cutOff = (n: number): boolean => all || hole[n]!;
      // The others hear the suspect; those whom I do not hear cannot tell me.
      const testimonies = zones.flatMap((zone, n) =>
        n === me || n === x || cutOff(n) ? [] : [says({ from: `n${n}`, zone, silentMs: 300 })],
      );
      const well = 1 + zones.filter((_, n) => n !== me && n !== x && !cutOff(n)).length;
      const silentMs = cutOff(x) ? LEASE : 300;
      const seen = peer({ zone: zones[x]!, silentMs, closed: true, testimonies });
      const of = cluster({ zone: zones[me]!, zones: [...new Set(zones)], size });
      assert.equal(
        verdict({ peer: seen, ground: "silent", ageMs: LEASE, well }, of, timing).ok,
        false,
      );
    }),
    { seed: 11, numRuns: 2000 },
  );
});
test("verdict: on every one that has failed, by anybody who is well and hears a majority", () => {
  fc.assert(
    fc.property(network, fc.boolean(), ({ zones, accuser, suspect, hole }, strays) => {
      const size = zones.length;
      const [me, x] = [accuser % size, suspect % size];
      fc.pre(me !== x);
      const heard = zones.flatMap((zone, n) =>
        n === me || n === x || hole[n]! ? [] : [{ n, zone }],
      );
      const well = 1 + heard.length;
      const named = new Set(zones);
      const witnesses = new Set([zones[me]!, ...heard.map(({ zone }) => zone)]);
      if (strays) witnesses.add(zones[x]!);
      fc.pre(well * 2 > size && heard.length > 0 && witnesses.size >= Math.min(2, named.size));
      const testimonies = heard.map(({ n, zone }) => says({ from: `n${n}`, zone }));
      const seen = peer({ zone: zones[x]!, silentMs: LEASE, testimonies, strays: strays ? 20 : 0 });
      const of = cluster({ zone: zones[me]!, zones: [...named], size });
      assert.equal(suspicious(seen, of, timing) !== null, true);
      const ageMs = refuteMs(seen.machines, "silent", timing);
      assert.equal(verdict({ peer: seen, ground: "silent", ageMs, well }, of, timing).ok, true);
    }),
    { seed: 13, numRuns: 2000 },
  );
});

test("suspicion: waiting chunks are not handed on to the part of a suspect", () => {
  const type = {
    name: "m4",
    cpus: 4,
    gpus: 0,
    memGb: 16,
    price: 1,
    spotPrice: 1,
    bootS: 10,
    zones: ["a"],
  };
  const kind = { type: "m4", zone: "a", spot: true, capacity: 40, free: 40, most: 4 };
  const summary = { kinds: [kind], waiting: 0 } as unknown as Summary;
  const movedTo = (doubted: number | null): number | null => {
    const chunk = { allocations: new Map(), pending: 4, movingTo: null, since: 0 };
    const spec = { cpus: 1, kind: "array", zone: null };
    const job = { id: "wk-1", spec, chunks: new Map([[0, chunk]]), failures: 0 } as unknown as Job;
    const context = {
      index: 0,
      policy: null,
      constraints: new PlacementConstraints(null),
      log: quiet,
      leaseMs: LEASE,
      summaries: { all: () => [[1, summary]] },
      ownerSuspected: (part: number) => part === doubted,
    } as unknown as PartContext;
    context.constraints.allows = () => true;
    const pass = { machines: [], types: new Map([["m4", type]]), now: LEASE } as unknown as Pass;
    new Rebalancing(context).run([job], pass, 4);
    return chunk.movingTo;
  };
  assert.equal(movedTo(null), 1);
  assert.equal(movedTo(1), null);
});

// ---- who comes next ------------------------------------------------------------------------

const candidates = (n: number) =>
  Array.from({ length: n }, (_, i) => ({ name: `n${i}`, zone: i % 2 === 0 ? "a" : "b", load: 1 }));

test("succession: several parts go to different survivors, in their zones first", () => {
  fc.assert(
    fc.property(fc.integer({ min: 4, max: 15 }), fc.integer({ min: 1, max: 5 }), (size, lost) => {
      const all = candidates(size);
      const gone = Math.min(lost, Math.floor(size / 2) - 1);
      const vacancies: Vacancy[] = all
        .slice(0, gone)
        .map((home, part) => ({ part, home: { name: home.name, zone: home.zone } }));
      const survivors = all.slice(gone);
      const ranked = rankOwners(vacancies, survivors);
      const first = vacancies.map(({ part }) => ranked.get(part)![0]!);
      for (const [i, name] of first.entries()) {
        const { zone } = all[i]!;
        if (survivors.some((one) => one.zone === zone))
          assert.equal(survivors.find((one) => one.name === name)!.zone, zone);
      }
      for (const zone of ["a", "b"]) {
        const there = survivors.filter((one) => one.zone === zone).map(({ name }) => name);
        const given = first.filter((name) => there.includes(name));
        assert.ok(new Set(given).size >= Math.min(given.length, there.length));
      }
      assert.deepEqual(ranked, rankOwners(vacancies, [...survivors].reverse()), "the same for all");
    }),
    { seed: 3, numRuns: 300 },
  );
});

test("succession: a part goes home first, and leadership has none", () => {
  const all = candidates(4);
  const ranked = rankOwners(
    [
      { part: 3, home: { name: "n3", zone: "b" } },
      { part: null, home: null },
    ],
    all,
  );
  assert.deepEqual(ranked.get(3)!.slice(0, 2), ["n3", "n1"]);
  assert.equal(ranked.get(null)!.length, 4);
  assert.deepEqual(rankOwners([{ part: 0, home: null }], []).get(0), []);
});

test("standing: who ends again and again has to stand for longer each time, up to a bound", () => {
  assert.deepEqual(
    [0, 1, 2, 3, 6, 60].map((ends) => requiredStableMs(ends, 1)),
    [1, 2, 4, 8, 64, 64],
  );
});

const faulty: [text: string, message: RegExp][] = [
  ["suspicion { beat: 0 }", /^f:1: beat: above 0, at most 0.25$/],
  ["suspicion {\n silence: 0.02 }", /^f:2: silence: at least one and a half times beat$/],
  ["suspicion { phi: 50 }", /^f:1: phi: from 1 to 20$/],
  ["suspicion { again: nan }", /^f:1: again: above 0/],
];
for (const [text, message] of faulty) {
  test(`suspicion settings: ${text}`, async () => {
    const settings = settingsFor(0, 1, [{ name: "red", cpus: 1, max: 2 }]);
    await assert.rejects(parseOperators([{ file: "f", text }], settings), (error: Error) => {
      assert.ok(error instanceof SettingsError);
      assert.match(error.message, message);
      return true;
    });
  });
}

// A machine whose owner does not answer comes to another controller. When is it sent where?
const comers: { name: string; doubted: boolean; movesMs: number; atMs: number; to: string }[] = [
  { name: "no doubt", doubted: false, movesMs: 500, atMs: 0, to: "n1" },
  {
    name: "doubted, and its part gets another owner",
    doubted: true,
    movesMs: 500,
    atMs: 500,
    to: "n2",
  },
  {
    name: "doubted, and nothing comes of it",
    doubted: true,
    movesMs: 60_000,
    atMs: 2000,
    to: "n1",
  },
];
for (const { name, doubted, movesMs, atMs, to } of comers) {
  test(`suspicion: a machine comes from an owner, ${name}: to ${to} after ${atMs} ms`, async () => {
    const clock = new FakeClock();
    const core = {
      settings: settingsFor(0, 3, [{ name: "red", cpus: 1, max: 2 }]),
      clock,
      mirror: { ready: true },
      layout: { partOf: () => 0 },
    };
    const ownerOf = (): string => (clock.now() < movesMs ? "n1" : "n2");
    const never = (): never => {
      throw new Error("not here");
    };
    const owners = new OwnedParts(
      core as never,
      () => ({ ownerOf }) as never,
      never,
      () => undefined,
      never,
      () => doubted,
    );
    let sent: { reply: Reply; at: number } | null = null;
    const report = { host: "h", address: "a:1", build: "m4", berth: "a", borrowed: true };
    const rest = { shift: 1, tally: 1, baton: 1, warningS: null, pieces: [] };
    void Promise.resolve(owners.report({ ...report, ...rest })).then((reply) => {
      sent = { reply, at: clock.now() };
    });
    await clock.run(5000);
    const { reply, at } = sent!;
    assert.deepEqual([reply.status, reply.body], [421, { answerTo: to }]);
    assert.ok(at >= atMs && at <= atMs + 100, `after ${at} ms`);
  });
}
