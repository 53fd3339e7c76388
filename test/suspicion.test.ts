import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { OwnedParts } from "../src/controller/owned-parts.js";
import type { Reply } from "../src/http/server.js";
import { rankOwners, requiredStableMs, type Vacancy } from "../src/membership/owner-ranking.js";
import type { PartContext } from "../src/part/context.js";
import type { Job } from "../src/part/job.js";
import type { PlacementPass } from "../src/part/placement.js";
import { Rebalancing } from "../src/part/rebalancing.js";
import type { Summary } from "../src/part/summary.js";
import { parseOperators } from "../src/settings/operators.js";
import { SettingsError } from "../src/settings/settings.js";
import {
  type ClusterView,
  decideVerdict,
  FrameIntervals,
  localHealthScore,
  misroutedQuorum,
  type PeerObservation,
  type PeerView,
  readTiming,
  refutationTimeMs,
  suspicionGround,
  WorstTimerDelay,
} from "../src/suspicion/index.js";
import { PeerState } from "../src/suspicion/peer-state.js";
import { PlacementConstraints } from "../src/workers/placement-constraints.js";
import { FakeClock } from "./support/clock.js";
import { quiet } from "./support/common.js";
import { settingsFor } from "./support/platform-settings.js";

const LEASE_MS = 12_000;
const timing = readTiming({}, { leaseS: 12, reportS: 2 }, (why) => assert.fail(why));
const HEALTHY = { timerDelayMs: 0, storeContactAgeMs: 100, leaseValid: true, answersReports: true };

const clusterView = (more: Partial<ClusterView> = {}): ClusterView => ({
  zone: "a",
  zones: ["a", "b"],
  size: 5,
  localHealth: HEALTHY,
  ...more,
});
const observation = (more: Partial<PeerObservation> = {}): PeerObservation => ({
  from: "n2",
  zone: "b",
  silentMs: LEASE_MS,
  closed: false,
  misroutedMachines: 0,
  witnessHealthy: true,
  ageMs: 0,
  ...more,
});
const peerView = (more: Partial<PeerView> = {}): PeerView => ({
  name: "n1",
  zone: "b",
  present: true,
  canRefute: true,
  silentMs: 0,
  unlikelySilenceMs: 0,
  closed: false,
  machines: 40,
  misroutedMachines: 0,
  observations: [],
  ...more,
});

const suspicionCases: [
  name: string,
  peer: Partial<PeerView>,
  localHealth: Partial<ClusterView["localHealth"]>,
  string | null,
][] = [
  ["heard recently", {}, {}, null],
  ["silent", { silentMs: LEASE_MS / 12 }, {}, "silent"],
  ["silent for less than the limit", { silentMs: LEASE_MS / 13 }, {}, null],
  ["silent, connection closed", { silentMs: LEASE_MS / 24, closed: true }, {}, "closed"],
  [
    "silent, but no longer than often before",
    { silentMs: LEASE_MS / 12, unlikelySilenceMs: LEASE_MS / 8 },
    {},
    null,
  ],
  [
    "silent for the longest time that phi may require",
    { silentMs: LEASE_MS / 6, unlikelySilenceMs: LEASE_MS },
    {},
    "silent",
  ],
  ["not present", { silentMs: LEASE_MS, present: false }, {}, null],
  [
    "heard, but left by half of its machines",
    { misroutedMachines: 5, observations: [observation({ misroutedMachines: 15 })] },
    {},
    "workers",
  ],
  [
    "left by too few machines",
    { misroutedMachines: 4, observations: [observation({ misroutedMachines: 15 })] },
    {},
    null,
  ],
  [
    "a new run, left by machines of the one before",
    { misroutedMachines: 9, machines: 0 },
    {},
    null,
  ],
  ["left by both of its machines", { misroutedMachines: 2, machines: 2 }, {}, "workers"],
  [
    "silent, and own timers are slightly late",
    { silentMs: LEASE_MS / 12 },
    { timerDelayMs: 300 },
    null,
  ],
  [
    "silent for twice as long, and own timers are slightly late",
    { silentMs: LEASE_MS / 6 },
    { timerDelayMs: 300 },
    "silent",
  ],
  [
    "silent, and this process stalled",
    { silentMs: LEASE_MS },
    { timerDelayMs: LEASE_MS / 4 },
    null,
  ],
  [
    "silent, and no contact with the store",
    { silentMs: LEASE_MS },
    { storeContactAgeMs: LEASE_MS },
    null,
  ],
  ["silent, and own lease may have expired", { silentMs: LEASE_MS }, { leaseValid: false }, null],
];
for (const [name, peer, localHealth, ground] of suspicionCases) {
  test(`suspicion: ${name}: ${ground ?? "none"}`, () => {
    const cluster = clusterView({ localHealth: { ...HEALTHY, ...localHealth } });
    assert.equal(suspicionGround(peerView(peer), cluster, timing), ground);
  });
}

type VerdictCase = Partial<PeerView> & {
  ground?: "closed" | "silent" | "workers";
  ageMs?: number;
  reachableControllers?: number;
};
const silent = { silentMs: LEASE_MS / 4, observations: [observation()] };
const verdictCases: [
  name: string,
  given: VerdictCase,
  cluster: Partial<ClusterView>,
  why: string | null,
][] = [
  ["silent here and to a controller in its zone", silent, {}, null],
  ["silent here only", { ...silent, observations: [] }, {}, "no other controller confirms it"],
  [
    "heard by another controller",
    { ...silent, observations: [observation(), observation({ silentMs: 100 })] },
    {},
    "n2 still receives its frames",
  ],
  [
    "all witnesses in the accuser's zone",
    { ...silent, observations: [observation({ zone: "a" })] },
    {},
    "all witnesses are in one zone",
  ],
  [
    "all witnesses in the accuser's zone, and its machines report here",
    { ...silent, misroutedMachines: 4, observations: [observation({ zone: "a" })] },
    {},
    null,
  ],
  [
    "a cluster with one zone",
    { ...silent, observations: [observation({ zone: "a" })] },
    { zones: ["a"] },
    null,
  ],
  [
    "an impaired witness",
    { ...silent, observations: [observation({ witnessHealthy: false })] },
    {},
    "no other controller confirms it",
  ],
  [
    "an old observation",
    { ...silent, observations: [observation({ ageMs: LEASE_MS / 8 })] },
    {},
    "no other controller confirms it",
  ],
  ["time left to refute", { ...silent, ageMs: LEASE_MS / 24 }, {}, "time to refute has not passed"],
  [
    "heard since the accusation",
    { ...silent, silentMs: 200 },
    {},
    "the ground for suspicion no longer holds",
  ],
  [
    "half of all controllers are silent",
    { ...silent, reachableControllers: 2 },
    {},
    "only 2 of 5 controllers are heard",
  ],
  [
    "one of two controllers",
    { ...silent, reachableControllers: 1 },
    { size: 2 },
    "only 1 of 2 controllers are heard",
  ],
  [
    "the accuser is impaired",
    silent,
    { localHealth: { ...HEALTHY, answersReports: false } },
    "this controller is impaired itself",
  ],
  [
    "its machines left, though it sends frames",
    {
      ground: "workers",
      misroutedMachines: 9,
      observations: [observation({ silentMs: 10, misroutedMachines: 11 })],
    },
    {},
    null,
  ],
  [
    "its machines came back",
    { ground: "workers", observations: [observation({ misroutedMachines: 4 })] },
    {},
    "the ground for suspicion no longer holds",
  ],
];
for (const [
  name,
  { ground = "silent", ageMs = LEASE_MS / 6, reachableControllers = 4, ...peer },
  cluster,
  why,
] of verdictCases) {
  test(`verdict: ${name}: ${why ?? "yes"}`, () => {
    const outcome = decideVerdict(
      { peer: peerView(peer), ground, ageMs, reachableControllers },
      clusterView(cluster),
      timing,
    );
    assert.equal(outcome.ok ? null : outcome.why, why);
  });
}

test("verdict: none while verdicts are switched off", () => {
  const off = { ...timing, verdictsEnabled: false };
  const input = {
    peer: peerView(silent),
    ground: "silent" as const,
    ageMs: LEASE_MS,
    reachableControllers: 4,
  };
  assert.equal(decideVerdict(input, clusterView(), off).ok, false);
});

test("suspicion: a controller with few machines gets time for one of them to report", () => {
  assert.equal(refutationTimeMs(1, "silent", timing), 2500);
  assert.equal(refutationTimeMs(1, "closed", timing), 1250);
  assert.equal(refutationTimeMs(0, "silent", timing), LEASE_MS / 12);
  assert.equal(refutationTimeMs(200, "closed", timing), LEASE_MS / 24);
  assert.equal(misroutedQuorum(140), 70);
  assert.equal(misroutedQuorum(1), 1);
});

test("suspicion: a timer delay of this process counts for a while, and no longer", () => {
  const delay = new WorstTimerDelay(2000);
  delay.record(10_000, 900);
  assert.ok(localHealthScore({ ...HEALTHY, timerDelayMs: delay.worst() }, timing) > 0);
  delay.record(11_400, 0);
  assert.equal(delay.worst(), 900);
  delay.record(12_600, 0);
  assert.equal(delay.worst(), 0);
});

test("suspicion: each refutation in a row doubles the time until the next accusation", () => {
  const peerState = new PeerState("n1", "a", timing);
  const waits = [0, 1, 2, 3].map((n) => {
    peerState.noteRefutation(n * 1000);
    return peerState.accusableFrom - n * 1000;
  });
  assert.deepEqual(
    waits,
    [1, 2, 4, 8].map((times) => (times * LEASE_MS) / 2),
  );
  peerState.noteRefutation(1e9);
  assert.equal(peerState.accusableFrom - 1e9, LEASE_MS / 2, "long ago");
});

test("suspicion: observations of one run do not count against the next", () => {
  const peerState = new PeerState("n1", "a", timing);
  peerState.noteFrame(1000);
  peerState.closed = true;
  peerState.noteMisroutedReport("m1", { session: 1, seq: 5 }, 1500);
  peerState.recordObservation("n2", {
    zone: "a",
    silentMs: 900,
    closed: true,
    misroutedMachines: 3,
    witnessHealthy: true,
    at: 1500,
  });
  peerState.resetForNewRun(2000);
  assert.deepEqual(
    [peerState.lastFrameAt, peerState.closed, peerState.misroutedMachines(2000)],
    [2000, false, 0],
  );
  assert.deepEqual(peerState.observations(2000), []);
});

test("suspicion: a copy of a misrouted report, however late, does not count; a newer report does", () => {
  const peerState = new PeerState("n1", "a", timing);
  const machinesAfterReport = (session: number, seq: number, now: number): number => {
    peerState.noteMisroutedReport("m1", { session, seq }, now);
    return peerState.misroutedMachines(now);
  };
  const late = 1000 + 3 * LEASE_MS;
  assert.deepEqual(
    [
      machinesAfterReport(1, 5, 1000),
      machinesAfterReport(1, 5, late),
      machinesAfterReport(1, 4, late),
      machinesAfterReport(1, 6, late),
      machinesAfterReport(2, 1, 2 * late),
    ],
    [1, 0, 0, 1, 1],
  );
});

test("suspicion: phi grows with silence, and old intervals are dropped", () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 3000 }), { minLength: 60, maxLength: 300 }),
      (observedMs) => {
        const intervals = new FrameIntervals(3000);
        for (const ms of observedMs) intervals.add(ms);
        let previous = 0;
        for (let ms = 0; ms <= 9000; ms += 250) {
          const phi = intervals.phi(ms);
          assert.ok(phi >= previous - 1e-9, `phi of ${ms}: ${phi} after ${previous}`);
          previous = phi;
        }
        const silenceMs = intervals.silenceForPhi(4);
        assert.ok(Math.abs(intervals.phi(silenceMs) - 4) < 1e-6);
      },
    ),
    { seed: 7, numRuns: 60 },
  );
  const intervals = new FrameIntervals(3000);
  for (let n = 0; n < 200; n++) intervals.add(2500);
  for (let n = 0; n < 1200; n++) intervals.add(500);
  assert.ok(intervals.percentileMs(99) < 600, "older than two generations");
  assert.equal(new FrameIntervals(3000).phi(1e6), 0, "nothing is known yet");
});

/**
 * Random networks: any links of the accuser to other controllers may be cut, one controller may
 * have failed, and its machines may report to the accuser. Uses the failure detector's functions.
 */
const network = fc.record({
  zones: fc.array(fc.constantFrom("a", "b", "c"), { minLength: 2, maxLength: 15 }),
  accuser: fc.nat(),
  suspect: fc.nat(),
  /** Links of the accuser to other controllers that its fault cuts. */
  cutLinks: fc.array(fc.boolean(), { minLength: 15, maxLength: 15 }),
});
test("verdict: never against a controller that serves when the only fault is the accuser's", () => {
  fc.assert(
    fc.property(network, fc.boolean(), ({ zones, accuser, suspect, cutLinks }, allCut) => {
      const size = zones.length;
      const [own, other] = [accuser % size, suspect % size];
      fc.pre(own !== other);
      const cutOff = (n: number): boolean => allCut || cutLinks[n]!;
      // The others hear the suspect; those that the accuser does not hear cannot tell it.
      const observations = zones.flatMap((zone, n) =>
        n === own || n === other || cutOff(n)
          ? []
          : [observation({ from: `n${n}`, zone, silentMs: 300 })],
      );
      const reachableControllers =
        1 + zones.filter((_, n) => n !== own && n !== other && !cutOff(n)).length;
      const silentMs = cutOff(other) ? LEASE_MS : 300;
      const seen = peerView({
        zone: zones[other]!,
        silentMs,
        closed: true,
        observations,
      });
      const cluster = clusterView({ zone: zones[own]!, zones: [...new Set(zones)], size });
      assert.equal(
        decideVerdict(
          { peer: seen, ground: "silent", ageMs: LEASE_MS, reachableControllers },
          cluster,
          timing,
        ).ok,
        false,
      );
    }),
    { seed: 11, numRuns: 2000 },
  );
});
test("verdict: against every failed controller, by any healthy one that hears a majority", () => {
  fc.assert(
    fc.property(network, fc.boolean(), ({ zones, accuser, suspect, cutLinks }, machinesReport) => {
      const size = zones.length;
      const [own, other] = [accuser % size, suspect % size];
      fc.pre(own !== other);
      const heard = zones.flatMap((zone, n) =>
        n === own || n === other || cutLinks[n]! ? [] : [{ n, zone }],
      );
      const reachableControllers = 1 + heard.length;
      const zoneNames = new Set(zones);
      const witnesses = new Set([zones[own]!, ...heard.map(({ zone }) => zone)]);
      if (machinesReport) witnesses.add(zones[other]!);
      fc.pre(
        reachableControllers * 2 > size &&
          heard.length > 0 &&
          witnesses.size >= Math.min(2, zoneNames.size),
      );
      const observations = heard.map(({ n, zone }) => observation({ from: `n${n}`, zone }));
      const seen = peerView({
        zone: zones[other]!,
        silentMs: LEASE_MS,
        observations,
        misroutedMachines: machinesReport ? 20 : 0,
      });
      const cluster = clusterView({ zone: zones[own]!, zones: [...zoneNames], size });
      assert.equal(suspicionGround(seen, cluster, timing) !== null, true);
      const ageMs = refutationTimeMs(seen.machines, "silent", timing);
      assert.equal(
        decideVerdict(
          { peer: seen, ground: "silent", ageMs, reachableControllers },
          cluster,
          timing,
        ).ok,
        true,
      );
    }),
    { seed: 13, numRuns: 2000 },
  );
});

test("suspicion: waiting chunks are not moved to a part whose owner is suspected", () => {
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
  const movedTo = (suspectedPart: number | null): number | null => {
    const chunk = { allocations: new Map(), pending: 4, handoverTarget: null, since: 0 };
    const spec = { cpus: 1, kind: "array", zone: null };
    const job = { id: "wk-1", spec, chunks: new Map([[0, chunk]]), failures: 0 } as unknown as Job;
    const context = {
      index: 0,
      policy: null,
      constraints: new PlacementConstraints(null),
      log: quiet,
      leaseMs: LEASE_MS,
      summaries: { all: () => [[1, summary]] },
      ownerSuspected: (part: number) => part === suspectedPart,
    } as unknown as PartContext;
    context.constraints.allows = () => true;
    const pass = {
      machines: [],
      types: new Map([["m4", type]]),
      now: LEASE_MS,
    } as unknown as PlacementPass;
    new Rebalancing(context).run([job], pass, 4);
    return chunk.handoverTarget;
  };
  assert.equal(movedTo(null), 1);
  assert.equal(movedTo(1), null);
});

// ---- ranking of new owners -----------------------------------------------------------------

const candidates = (n: number) =>
  Array.from({ length: n }, (_, i) => ({ name: `n${i}`, zone: i % 2 === 0 ? "a" : "b", load: 1 }));

test("owner ranking: several parts go to different survivors, in their zones first", () => {
  fc.assert(
    fc.property(fc.integer({ min: 4, max: 15 }), fc.integer({ min: 1, max: 5 }), (size, failed) => {
      const all = candidates(size);
      const failedCount = Math.min(failed, Math.floor(size / 2) - 1);
      const vacancies: Vacancy[] = all
        .slice(0, failedCount)
        .map((home, part) => ({ part, home: { name: home.name, zone: home.zone } }));
      const survivors = all.slice(failedCount);
      const ranked = rankOwners(vacancies, survivors);
      const owners = vacancies.map(({ part }) => ranked.get(part)![0]!);
      for (const [i, name] of owners.entries()) {
        const { zone } = all[i]!;
        if (survivors.some((one) => one.zone === zone))
          assert.equal(survivors.find((one) => one.name === name)!.zone, zone);
      }
      for (const zone of ["a", "b"]) {
        const inZone = survivors.filter((one) => one.zone === zone).map(({ name }) => name);
        const given = owners.filter((name) => inZone.includes(name));
        assert.ok(new Set(given).size >= Math.min(given.length, inZone.length));
      }
      assert.deepEqual(
        ranked,
        rankOwners(vacancies, [...survivors].reverse()),
        "the same on every controller",
      );
    }),
    { seed: 3, numRuns: 300 },
  );
});

test("owner ranking: a part goes to its home controller first; leadership has no home", () => {
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

test("stability: each recent restart doubles the required time, up to a bound", () => {
  assert.deepEqual(
    [0, 1, 2, 3, 6, 60].map((restarts) => requiredStableMs(restarts, 1)),
    [1, 2, 4, 8, 64, 64],
  );
});

const invalidSettings: [text: string, message: RegExp][] = [
  ["suspicion { beat: 0 }", /^f:1: beat: above 0, at most 0.25$/],
  ["suspicion {\n silence: 0.02 }", /^f:2: silence: at least one and a half times beat$/],
  ["suspicion { phi: 50 }", /^f:1: phi: from 1 to 20$/],
  ["suspicion { again: nan }", /^f:1: again: above 0/],
];
for (const [text, message] of invalidSettings) {
  test(`suspicion settings: ${text}`, async () => {
    const settings = settingsFor(0, 1, [{ name: "red", cpus: 1, max: 2 }]);
    await assert.rejects(parseOperators([{ file: "f", text }], settings), (error: Error) => {
      assert.ok(error instanceof SettingsError);
      assert.match(error.message, message);
      return true;
    });
  });
}

// A machine whose owner does not answer reports to another controller: when it is redirected, and where.
const redirects: { name: string; suspected: boolean; movesMs: number; atMs: number; to: string }[] =
  [
    { name: "not suspected", suspected: false, movesMs: 500, atMs: 0, to: "n1" },
    {
      name: "suspected, and its part gets another owner",
      suspected: true,
      movesMs: 500,
      atMs: 500,
      to: "n2",
    },
    {
      name: "suspected, and its part keeps its owner",
      suspected: true,
      movesMs: 60_000,
      atMs: 2000,
      to: "n1",
    },
  ];
for (const { name, suspected, movesMs, atMs, to } of redirects) {
  test(`suspicion: a machine reports from an owner that is ${name}: to ${to} after ${atMs} ms`, async () => {
    const clock = new FakeClock();
    const core = {
      settings: settingsFor(0, 3, [{ name: "red", cpus: 1, max: 2 }]),
      clock,
      mirror: { ready: true },
      layout: { partOf: () => 0 },
    };
    const ownerOf = (): string => (clock.now() < movesMs ? "n1" : "n2");
    const never = (): never => {
      throw new Error("not called in this test");
    };
    const owners = new OwnedParts(
      core as never,
      () => ({ ownerOf }) as never,
      never,
      () => undefined,
      never,
      () => suspected,
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
