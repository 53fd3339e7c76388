/** Which part a machine belongs to, and which controller is at home in a part. */
export interface Member {
  name: string;
  zone: string;
}

/** FNV-1a: spreads the similar names that clouds give out; stable across versions. */
export function hash(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    h ^= text.charCodeAt(i);
    h = Math.imul(h, 0x01000193);
  }
  // FNV's low bits alone follow the last character too closely.
  h ^= h >>> 16;
  h = Math.imul(h, 0x85ebca6b);
  h ^= h >>> 13;
  return h >>> 0;
}

/**
 * Part `i` is at home on the `i`th controller. A machine is hashed into one of the parts at home
 * in its own zone, so that a cut between zones leaves owners with the machines they can reach; in
 * a zone without a controller, into any part.
 */
export class Layout {
  readonly parts: number;
  readonly #byZone = new Map<string, number[]>();
  readonly #all: number[];

  constructor(readonly members: readonly Member[]) {
    this.parts = members.length;
    this.#all = members.map((_, i) => i);
    members.forEach(({ zone }, i) => {
      const list = this.#byZone.get(zone);
      if (list === undefined) this.#byZone.set(zone, [i]);
      else list.push(i);
    });
  }

  partOf(machine: string, zone: string): number {
    const parts = this.#byZone.get(zone) ?? this.#all;
    return parts[hash(machine) % parts.length]!;
  }

  /** Parts whose machines may be in this zone. */
  partsOf(zone: string): number[] {
    return this.#byZone.get(zone) ?? this.#all;
  }

  home(part: number): Member {
    return this.members[part]!;
  }

  indexOf(name: string): number {
    return this.members.findIndex((member) => member.name === name);
  }
}
