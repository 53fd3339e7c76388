import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import type { Clock } from "../clock.js";
import type { Log } from "../log.js";
import { decodeFrame, encodeFrame, type Frame, FrameSplitter, VERSION } from "./frames.js";

export interface PeerAddress {
  name: string;
  addr: string;
}

/** With more unsent bytes than this, the connection to a peer that does not read is closed and retried. */
const MAX_UNSENT_BYTES = 256 * 1024;

/**
 * Connections to the other controllers. Frames are hints only: correctness never depends on whether
 * or when a frame arrives.
 */
export class Mesh {
  readonly #outgoing = new Map<string, Socket>();
  readonly #incoming = new Set<Socket>();
  #server: Server | null = null;
  #stopped = false;

  constructor(
    readonly node: string,
    readonly listen: string,
    readonly peerAddresses: readonly PeerAddress[],
    readonly clock: Clock,
    readonly log: Log,
    /** Timeout of a connection attempt, and the delay before the next one. */
    readonly retryMs: number,
    readonly onFrame: (frame: Frame, from: string) => void,
    /** An incoming connection was closed; the controller may still be running. */
    readonly onClosed: (from: string) => void = () => undefined,
  ) {}

  async start(): Promise<void> {
    const server = createServer((socket) => this.#accept(socket));
    server.maxConnections = this.peerAddresses.length * 8;
    const colon = this.listen.lastIndexOf(":");
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(Number(this.listen.slice(colon + 1)), this.listen.slice(0, colon), () => {
        server.off("error", reject);
        server.on("error", (error) => this.log.error({ err: error }, "cluster listener failed"));
        resolve();
      });
    });
    this.#server = server;
    for (const peer of this.peerAddresses) this.#dial(peer);
  }

  /** The port it listens on, also when the settings let the system choose one. */
  get port(): number {
    const address = this.#server?.address() as AddressInfo | null | undefined;
    return address?.port ?? 0;
  }

  stop(): void {
    this.#stopped = true;
    this.#server?.close();
    for (const socket of [...this.#outgoing.values(), ...this.#incoming]) socket.destroy();
  }

  broadcast(frame: Frame): void {
    if (this.#outgoing.size === 0) return;
    const bytes = encodeFrame(frame);
    for (const socket of this.#outgoing.values()) {
      if (socket.writableLength > MAX_UNSENT_BYTES) socket.destroy();
      else socket.write(bytes);
    }
  }

  /** Sends a frame to one controller if it is connected; otherwise the frame is dropped. */
  send(to: string, frame: Frame): void {
    const socket = this.#outgoing.get(to);
    if (socket === undefined) return;
    if (socket.writableLength > MAX_UNSENT_BYTES) socket.destroy();
    else socket.write(encodeFrame(frame));
  }

  #accept(socket: Socket): void {
    this.#incoming.add(socket);
    const cutter = new FrameSplitter();
    let from: string | null = null;
    // A connection that sends no hello within the time limit is closed.
    const helloTimer = this.clock.after(this.retryMs * 4, () => {
      if (from === null) socket.destroy();
    });
    socket.on("data", (bytes) => {
      try {
        for (const payload of cutter.push(bytes)) {
          const frame = decodeFrame(payload);
          if (from === null) {
            if (frame?.kind !== "hello" || frame.version !== VERSION)
              throw new Error("first frame is not a hello of this protocol version");
            from = frame.node;
          } else if (frame !== null) this.onFrame(frame, from);
        }
      } catch (error) {
        this.log.warn(
          { why: String(error), from: socket.remoteAddress },
          "invalid data from a peer; closing its connection",
        );
        socket.destroy();
      }
    });
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      helloTimer.cancel();
      this.#incoming.delete(socket);
      if (from !== null && !this.#stopped) this.onClosed(from);
    });
  }

  #dial(peer: PeerAddress): void {
    if (this.#stopped) return;
    const colon = peer.addr.lastIndexOf(":");
    const socket = connect(Number(peer.addr.slice(colon + 1)), peer.addr.slice(0, colon));
    const connectTimer = this.clock.after(this.retryMs, () => {
      if (socket.connecting) socket.destroy();
    });
    socket.setNoDelay(true);
    socket.on("connect", () => {
      this.#outgoing.set(peer.name, socket);
      socket.write(encodeFrame({ kind: "hello", version: VERSION, node: this.node }));
      this.log.debug({ peer: peer.name }, "connected to peer");
    });
    socket.on("error", () => socket.destroy());
    socket.resume();
    socket.on("close", () => {
      connectTimer.cancel();
      if (this.#outgoing.get(peer.name) === socket) this.#outgoing.delete(peer.name);
      if (!this.#stopped) this.clock.after(this.retryMs, () => this.#dial(peer));
    });
  }
}
