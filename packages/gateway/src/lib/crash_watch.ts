/** Requests that upstreams crash under, as all instances know them. */
import {Suspects} from '@citrontrestle/decisions';
import type {Clock} from '@citrontrestle/decisions';

/** Upstreams that a request may crash before it is refused. */
const MOST_CRASHES = 3;

/** Notes lost requests and passes them on to the other instances. */
export class CrashWatch {
  private readonly suspects = new Suspects(MOST_CRASHES);

  constructor(
    private readonly clock: Clock,
    private readonly tell: (fingerprint: string, upstream: string) => void,
  ) {}

  /** An upstream was lost while it ran a request. */
  lost(fingerprint: string, upstream: string): void {
    this.heard(fingerprint, upstream);
    this.tell(fingerprint, upstream);
  }

  /** Another instance lost an upstream under a request. */
  heard(fingerprint: string, upstream: string): void {
    this.suspects.failed(fingerprint, upstream, this.clock.now());
  }

  /** The request was answered; it is no suspect any more. */
  answered(fingerprint: string): void {
    this.suspects.answered(fingerprint);
  }

  /** Whether the request is to be refused. */
  blocked(fingerprint: string): boolean {
    return this.suspects.isBlocked(fingerprint, this.clock.now());
  }
}
