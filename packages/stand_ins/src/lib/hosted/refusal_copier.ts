/**
 * Lets a server refuse some requests and write copies of these refusals, which
 * nobody asked for, to the same connections later.
 */
import {formatAnswer, refusalHeaders} from './raw_answer.js';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Millis} from '@citrontrestle/decisions';

/** When a server writes the copy of a refusal. */
export enum CopyOccasion {
  /** At once when it is sent the refused request again. */
  SameRequest = 'same-request',
  /** Some time into the run of the refused request. */
  SameRequestLater = 'same-request-later',
  /** At once when it is sent another request. */
  OtherRequest = 'other-request',
  /** When the connection is idle. */
  Idle = 'idle',
  /** At any of these, in turn. */
  Any = 'any',
}

/** Settings of a `RefusalCopier`. */
export interface RefusalCopierSettings {
  /** Status of the refusals, such as 503. */
  status: number;
  occasion: CopyOccasion;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/** Share of refusals among the first requests of connections. */
const FIRST_REFUSAL_SHARE = 0.5;

/** Share of refusals among later requests. */
const LATER_REFUSAL_SHARE = 0.1;

/** Time from the beginning of a run to a copy, and from a copy to the answer. */
const COPY_DELAY: Millis = 20;

/** Time from a refusal to its copy on an idle connection. */
const IDLE_COPY_DELAY: Millis = 30;

/** What a connection has carried. */
interface ConnectionState {
  requests: number;
  /** Requests that have not been answered. */
  running: number;
  /** Occasions of the copies of its refusals, by the request refused. */
  refusals: Map<string, CopyOccasion>;
}

/** The occasions that `CopyOccasion.Any` stands for. */
const SINGLE_OCCASIONS = Object.values(CopyOccasion).filter(
  occasion => occasion !== CopyOccasion.Any,
);

/** Refuses requests of one server and repeats the refusals. */
export class RefusalCopier {
  /** Number of refusals, without copies. */
  refusalCount = 0;
  /** Number of copies that it wrote. */
  copyCount = 0;
  private readonly connections = new WeakMap<Socket, ConnectionState>();

  constructor(private readonly settings: RefusalCopierSettings) {}

  /** Answers a request if it is to be refused; otherwise returns false. */
  tryRefuse(
    outgoing: ServerResponse,
    id: string,
    headers: Record<string, string>,
  ): boolean {
    const {socket} = outgoing;
    if (socket === null) {
      return false;
    }
    const state = this.stateOf(socket);
    const share =
      state.requests === 0 ? FIRST_REFUSAL_SHARE : LATER_REFUSAL_SHARE;
    state.requests += 1;
    const isRefused = !state.refusals.has(id) && this.settings.random() < share;
    if (!isRefused) {
      state.running += 1;
      outgoing.on('close', () => {
        state.running -= 1;
      });
      return false;
    }
    const occasion = this.nextOccasion();
    this.refusalCount += 1;
    state.refusals.set(id, occasion);
    outgoing.writeHead(this.settings.status, {
      ...headers,
      ...refusalHeaders(id),
      'Content-Length': 0,
    });
    outgoing.end();
    if (occasion === CopyOccasion.Idle) {
      setTimeout(() => {
        if (state.running === 0) {
          this.writeCopy(socket, id);
        }
      }, IDLE_COPY_DELAY);
    }
    return true;
  }

  /**
   * Writes the copies that are due when a request runs. Returns the time for
   * which the answer is to wait, so that the copies come before it.
   */
  copyBeforeAnswer(outgoing: ServerResponse, id: string): Millis {
    const {socket} = outgoing;
    const refusals = socket && this.connections.get(socket)?.refusals;
    let wait = 0;
    for (const [refusedId, occasion] of refusals ?? []) {
      const delay = COPY_DELAYS[occasion](refusedId === id);
      if (socket === null || delay === undefined) {
        continue;
      }
      wait = Math.max(wait, delay + COPY_DELAY);
      if (delay === 0) {
        this.writeCopy(socket, refusedId);
      } else {
        setTimeout(() => this.writeCopy(socket, refusedId), delay);
      }
    }
    return wait;
  }

  private writeCopy(socket: Socket, id: string): void {
    if (socket.destroyed) {
      return;
    }
    this.copyCount += 1;
    socket.write(formatAnswer(this.settings.status, refusalHeaders(id)));
  }

  private nextOccasion(): CopyOccasion {
    const {occasion} = this.settings;
    return occasion === CopyOccasion.Any
      ? (SINGLE_OCCASIONS[this.refusalCount % SINGLE_OCCASIONS.length] ??
          occasion)
      : occasion;
  }

  private stateOf(socket: Socket): ConnectionState {
    const state = this.connections.get(socket) ?? {
      requests: 0,
      running: 0,
      refusals: new Map<string, CopyOccasion>(),
    };
    this.connections.set(socket, state);
    return state;
  }
}

/**
 * Delays of the copies of a refusal, given whether the refused request itself
 * runs; undefined if none is due.
 */
const COPY_DELAYS: Readonly<
  Record<CopyOccasion, (isSame: boolean) => Millis | undefined>
> = {
  [CopyOccasion.SameRequest]: isSame => (isSame ? 0 : undefined),
  [CopyOccasion.SameRequestLater]: isSame => (isSame ? COPY_DELAY : undefined),
  [CopyOccasion.OtherRequest]: isSame => (isSame ? undefined : 0),
  [CopyOccasion.Idle]: () => undefined,
  [CopyOccasion.Any]: () => undefined,
};
