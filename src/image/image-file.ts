import { createHash } from "node:crypto";
import { createReadStream, createWriteStream } from "node:fs";
import { rename, rm } from "node:fs/promises";
import { pipeline } from "node:stream/promises";
import { createGunzip, createGzip } from "node:zlib";
import tar from "tar-stream";
import { z } from "zod";
import { type Image, PREFIXES } from "./collect.js";

/** A file cannot be read as an image; the message names the file and, if known, the entry and line. */
export class ImageError extends Error {
  override readonly name = "ImageError";
}

const FORMAT = 1;

const manifestSchema = z.object({
  format: z.number().int(),
  revision: z.number().int().nonnegative(),
  takenAt: z.number().int(),
  entries: z.array(
    z.object({ name: z.string(), rows: z.number().int(), sha256: z.string().length(64) }),
  ),
});

const lineSchema = z.tuple([z.string().min(1), z.number().int().positive(), z.unknown()]);

const entryNameOf = (prefix: string): string => `${prefix.slice(0, -1)}.jsonl`;

/**
 * Writes an image: a gzipped tar file with a manifest and one file of JSON lines
 * `[key, version, value]` for each prefix, in order of key, with the SHA-256 of each. The file is
 * written under a temporary name and renamed once it is complete.
 */
export async function writeImage(file: string, image: Image): Promise<void> {
  const keys = [...image.rows.keys()].sort();
  const texts = PREFIXES.map((prefix) => {
    const lines = keys
      .filter((key) => key.startsWith(prefix))
      .map((key) => {
        const { value, version } = image.rows.get(key)!;
        return `${JSON.stringify([key, version, value])}\n`;
      });
    return { name: entryNameOf(prefix), rows: lines.length, bytes: Buffer.from(lines.join("")) };
  });
  const { revision, takenAt } = image;
  const manifest: z.infer<typeof manifestSchema> = {
    format: FORMAT,
    revision,
    takenAt,
    entries: texts.map(({ name, rows, bytes }) => ({ name, rows, sha256: sha256Of(bytes) })),
  };
  const pack = tar.pack();
  const mtime = new Date(takenAt);
  pack.entry({ name: "manifest.json", mtime }, `${JSON.stringify(manifest, null, 2)}\n`);
  for (const { name, bytes } of texts) pack.entry({ name, mtime }, bytes);
  pack.finalize();
  const partialFile = `${file}.part`;
  try {
    await pipeline(pack, createGzip(), createWriteStream(partialFile, { flags: "wx" }));
    await rename(partialFile, file);
  } catch (error) {
    await rm(partialFile, { force: true });
    throw error;
  }
}

const sha256Of = (bytes: Buffer): string => createHash("sha256").update(bytes).digest("hex");

/**
 * Reads an image and verifies that it is complete and undamaged. The invariants between its records
 * are checked by `checkImage`.
 * @throws ImageError with file, entry and line
 */
export async function readImage(file: string): Promise<Image> {
  const files = new Map<string, Buffer>();
  const extract = tar.extract();
  const reading = pipeline(createReadStream(file), createGunzip(), extract);
  try {
    for await (const entry of extract) {
      const chunks: Buffer[] = [];
      for await (const chunk of entry) chunks.push(chunk as Buffer);
      files.set(entry.header.name, Buffer.concat(chunks));
    }
    await reading;
  } catch (error) {
    reading.catch(() => undefined);
    const { code } = error as NodeJS.ErrnoException;
    if (code === "ENOENT" || code === "EACCES" || code === "EISDIR") throw error;
    throw new ImageError(
      `${file}: truncated, or not a gzipped tar file (${(error as Error).message})`,
    );
  }
  const manifestBytes = files.get("manifest.json");
  if (manifestBytes === undefined) throw new ImageError(`${file}: manifest.json is missing`);
  let parsed: z.infer<typeof manifestSchema>;
  try {
    parsed = manifestSchema.parse(JSON.parse(manifestBytes.toString()));
  } catch {
    throw new ImageError(`${file}: manifest.json: not a valid image manifest`);
  }
  if (parsed.format !== FORMAT) {
    throw new ImageError(
      `${file}: image format ${parsed.format} is not supported; expected format ${FORMAT}`,
    );
  }
  const rows: Image["rows"] = new Map();
  for (const { name, rows: count, sha256 } of parsed.entries) {
    const bytes = files.get(name);
    if (bytes === undefined) throw new ImageError(`${file}: ${name} is missing`);
    if (sha256Of(bytes) !== sha256)
      throw new ImageError(`${file}: ${name}: the checksum does not match the manifest`);
    const lines = bytes.length === 0 ? [] : bytes.toString().trimEnd().split("\n");
    if (lines.length !== count) {
      throw new ImageError(`${file}: ${name}: expected ${count} lines, got ${lines.length}`);
    }
    for (const [i, text] of lines.entries()) {
      const row = parseLine(text);
      if (row === null)
        throw new ImageError(`${file}: ${name}:${i + 1}: expected [key, version, value]`);
      rows.set(row[0], { value: row[2], version: row[1] });
    }
  }
  const { revision, takenAt } = parsed;
  return { revision, takenAt, rows };
}

function parseLine(text: string): z.infer<typeof lineSchema> | null {
  try {
    return lineSchema.parse(JSON.parse(text));
  } catch {
    return null;
  }
}
