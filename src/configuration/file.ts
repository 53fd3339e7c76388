/** Reads a configuration change from protobuf text, the format of the operators' settings. */
import { parseSources, type Raw, type RejectSettings, type Source } from "../settings/tuning.js";
import { isGroup, isTeam, type Overrides } from "./records.js";

/** The fields allowed in such a file. */
const CHANGEABLE_FIELDS = new Set(["team", "group"]);

export interface ChangeFile {
  change: Overrides;
  /**
   * Throws a `SettingsError` with file, line and reason; for errors that only a controller detects.
   */
  refuse: RejectSettings;
}

/** @throws SettingsError with file, line and reason */
export function readChange(source: Source): ChangeFile {
  const { raw, refuse } = parseSources([source], []);
  for (const field of Object.keys(raw)) {
    if (!CHANGEABLE_FIELDS.has(field))
      refuse(`${field} cannot be changed while serving; teams and groups can`, field);
  }
  const { team: teams = [], group: groups = [] }: Raw = raw;
  const names = new Set<string>();
  for (const one of [...groups, ...teams]) {
    if (one.name === undefined || one.name === "") refuse("a name is missing", "name");
    if (names.has(one.name)) refuse(`${one.name} is there twice`, one.name);
    names.add(one.name);
  }
  const wrong = [
    ...teams.filter((team) => !isTeam(team)).map(({ name }) => name),
    ...groups.filter((group) => !isGroup(group)).map(({ name }) => name),
  ];
  for (const name of wrong) refuse(`${name}: amounts are 0 or more, a weight is above 0`, name);
  if (names.size === 0) refuse("the file changes nothing", "");
  return { change: { teams, groups }, refuse };
}
