/** Everything under `w/` is watched by every controller; task records under `c/` are not. */
export const WATCHED = "w/";
export const keys = {
  claim: (part: number): string => `w/p/${part}`,
  leader: "w/lead",
  node: (name: string): string => `w/n/${name}`,
  job: (id: string): string => `w/j/${id}`,
  quota: (team: string): string => `w/q/${encodeURIComponent(team)}`,
  summary: (part: number): string => `w/s/${part}`,
  gone: (machine: string): string => `w/g/${machine}`,
  types: "w/types",
  chunks: (part: number): string => `c/${part}/`,
  chunk: (part: number, job: string, index: number): string => `c/${part}/${job}/${index}`,
};
