import type { Clock } from "../clock.js";
import type { Claims, Peers } from "../extension/index.js";
import type { Membership } from "../membership/membership.js";
import type { Frame } from "../peer/frames.js";
import type { OwnedParts } from "./owned-parts.js";

/** The access of packages to claims: what they may read and request. */
export function claimsOf(
  run: string,
  membership: () => Membership,
  owners: () => OwnedParts,
): Claims {
  return {
    run,
    get stability() {
      return membership().stability;
    },
    valid: () => membership().valid(),
    lease: () => membership().lease,
    ownerOf: (part) => membership().ownerOf(part),
    servedParts: () => owners().served(),
    reassign: (...asked) => membership().handover.reassign(...asked),
    relinquish: (forMs, why) => membership().relinquish([...owners().parts.keys()], forMs, why),
  };
}

/** The connection to the other controllers; records when the last broadcast was sent. */
export function peersOf(
  links: { send(to: string, frame: Frame): void; broadcast(frame: Frame): void },
  clock: Clock,
): Peers {
  let sentAt = Number.NEGATIVE_INFINITY;
  return {
    send: (to, frame) => links.send(to, frame),
    broadcast: (frame) => {
      sentAt = clock.now();
      links.broadcast(frame);
    },
    sentAt: () => sentAt,
  };
}
