import { type Socket, connect } from "node:net";
import { CrowdKind } from "./crowd-kind.js";

const RETURN_MS = 100;
const STEP_MS = 20;
const PIECES = 60;
const REQUESTS_AHEAD = 400;
const AHEAD_BODY_BYTES = 2_000;
/** Bytes of a head that does not end, before the first single byte. */
const HEAD_BYTES = 40_000;

/** How the members of a crowd write their requests. */
export interface CrowdTarget {
  readonly port: number;
  /** Size of a large body, which is inside the limits, in bytes. */
  readonly bodyBytes: number;
  /** The head of a request up to its framing, each with a new attempt id or key. */
  readonly head: (member: number, request: number, streams: boolean) => string;
  /** A body of a size. */
  readonly body: (bytes: number) => string;
}

/** Callers without restraint, which never read an answer and come back when they are closed. */
export class Crowd {
  private readonly sockets = new Set<Socket>();
  private readonly clocks = new Set<NodeJS.Timeout>();
  private requests = 0;
  private ended = false;

  private constructor(
    private readonly target: CrowdTarget,
    private readonly kind: CrowdKind,
  ) {}

  /** Starts a crowd of some connections. */
  static create(target: CrowdTarget, kind: CrowdKind, connections: number): Crowd {
    const crowd = new Crowd(target, kind);
    for (let member = 0; member < connections; member += 1) crowd.enter(member);
    return crowd;
  }

  /** Closes all connections. */
  stop(): void {
    this.ended = true;
    for (const clock of this.clocks) clearTimeout(clock);
    for (const socket of this.sockets) socket.destroy();
  }

  private enter(member: number): void {
    if (this.ended) return;
    const socket = connect(this.target.port, "127.0.0.1");
    this.sockets.add(socket);
    socket.pause();
    socket.on("error", () => undefined);
    socket.once("connect", () => {
      this.play(socket, member);
    });
    socket.once("close", () => {
      this.sockets.delete(socket);
      this.later(RETURN_MS, () => {
        this.enter(member);
      });
    });
  }

  private play(socket: Socket, member: number): void {
    const { target } = this;
    switch (this.kind) {
      case CrowdKind.WholeBodies:
        socket.write(this.request(member, target.bodyBytes));
        return;
      case CrowdKind.UnendedBodies:
        socket.write(this.request(member, target.bodyBytes).slice(0, -1));
        return;
      case CrowdKind.BodyPieces: {
        const text = this.request(member, target.bodyBytes);
        this.trickle(socket, text, 0, Math.ceil(text.length / PIECES));
        return;
      }
      case CrowdKind.ManyRequests:
        for (let count = 0; count < REQUESTS_AHEAD; count += 1)
          socket.write(this.request(member, AHEAD_BODY_BYTES));
        return;
      case CrowdKind.UnreadStreams:
        socket.write(this.request(member, AHEAD_BODY_BYTES, true));
        return;
      case CrowdKind.SlowHeads: {
        const text = `${this.head(member, false)}x-long: ${"x".repeat(HEAD_BYTES)}`;
        socket.write(text.slice(0, HEAD_BYTES));
        this.trickle(socket, text, HEAD_BYTES, 1);
        return;
      }
      case CrowdKind.Nothing:
    }
  }

  private trickle(socket: Socket, text: string, from: number, step: number): void {
    if (from >= text.length || socket.destroyed) return;
    socket.write(text.slice(from, from + step));
    this.later(STEP_MS, () => {
      this.trickle(socket, text, from + step, step);
    });
  }

  private head(member: number, streams: boolean): string {
    this.requests += 1;
    return this.target.head(member, this.requests, streams);
  }

  private request(member: number, bytes: number, streams = false): string {
    const body = this.target.body(bytes);
    return `${this.head(member, streams)}content-length: ${body.length}\r\n\r\n${body}`;
  }

  private later(ms: number, action: () => void): void {
    const clock = setTimeout(() => {
      this.clocks.delete(clock);
      action();
    }, ms);
    this.clocks.add(clock);
  }
}
