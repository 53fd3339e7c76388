import { z } from "zod";

const record = z.object({
  /** Name of the accusing controller. */
  by: z.string(),
  /** The run of the suspect that is accused; the accusation does not apply to a later run. */
  run: z.string(),
  ground: z.enum(["closed", "silent", "workers"]),
  /** Names of those who confirmed it. */
  witnesses: z.array(z.string()).max(64),
  /** Whether a verdict has transferred the suspect's claims to others. */
  judged: z.boolean(),
});

/** The record that a controller is accused (`w/a/{name}`), attached to the accuser's lease. */
export type Accusation = z.infer<typeof record>;

export const parseAccusation = (value: unknown): Accusation | null =>
  record.safeParse(value).data ?? null;
