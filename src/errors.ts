const DESCRIPTIONS: Record<string, string> = {
  ENOENT: "there is no such file; check the path",
  EACCES: "permission denied; check its owner and permissions",
  EISDIR: "is a directory; expected a file",
  ENOTDIR: "a part of the path is a file, not a directory",
  EADDRINUSE: "the address is in use; is another controller running here?",
  EADDRNOTAVAIL: "the address is not one of this machine; check listen and cluster_listen",
  ECONNREFUSED: "connection refused; is it running, and is the address right?",
};

/** Describes an operating system's error for users; its message where there is no description. */
export function describeError(error: unknown): string {
  const { code, message } = error as NodeJS.ErrnoException;
  if (code === undefined) return message ?? String(error);
  return DESCRIPTIONS[code] ?? message ?? code;
}

/** Describes an error, with the file or address that it concerns. */
export function describeErrorWithPath(error: unknown): string {
  const { path, address, port } = error as NodeJS.ErrnoException & {
    address?: string;
    port?: number;
  };
  const where = path ?? (address === undefined ? undefined : `${address}:${port ?? ""}`);
  const sentence = describeError(error);
  return where === undefined || sentence.includes(where) ? sentence : `${where}: ${sentence}`;
}
