/** A controller of the cluster, as named in the settings. */
export interface Member {
  name: string;
  zone: string;
}

/** FNV-1a with a final mix: spreads the similar names that clouds assign; stable across versions. */
export function hash(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    h ^= text.charCodeAt(i);
    h = Math.imul(h, 0x01000193);
  }
  // Without this, FNV's low bits depend too much on the last character.
  h ^= h >>> 16;
  h = Math.imul(h, 0x85ebca6b);
  h ^= h >>> 13;
  return h >>> 0;
}

/**
 * Which part a machine belongs to, and which controller is the home of a part. Part `i` has the
 * `i`th controller as its home. A machine is hashed into one of the parts whose home is in the
 * machine's zone, so that after a network partition between zones owners still reach their machines;
 * in a zone without a controller, into any part.
 */
export class Layout {
  readonly parts: number;
  readonly #partsByZone = new Map<string, number[]>();
  readonly #allParts: number[];

  constructor(readonly members: readonly Member[]) {
    this.parts = members.length;
    this.#allParts = members.map((_, i) => i);
    members.forEach(({ zone }, i) => {
      const list = this.#partsByZone.get(zone);
      if (list === undefined) this.#partsByZone.set(zone, [i]);
      else list.push(i);
    });
  }

  partOf(machine: string, zone: string): number {
    const parts = this.#partsByZone.get(zone) ?? this.#allParts;
    return parts[hash(machine) % parts.length]!;
  }

  /** Parts whose machines may be in this zone. */
  partsOf(zone: string): number[] {
    return this.#partsByZone.get(zone) ?? this.#allParts;
  }

  home(part: number): Member {
    return this.members[part]!;
  }

  indexOf(name: string): number {
    return this.members.findIndex((member) => member.name === name);
  }
}
