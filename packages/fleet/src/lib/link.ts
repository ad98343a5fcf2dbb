/** One authenticated connection between two entries. */
import {createHmac} from 'node:crypto';
import {randomId, sameSecret} from '@citrontrestle/runtime';
import {encodeFrame, FrameReader} from './frame.js';
import {HELLO_SCHEMA, PROOF_SCHEMA} from './message.js';
import type {Hello} from './message.js';
import type {Millis} from '@citrontrestle/decisions';
import type {Socket} from 'node:net';
import type {z} from 'zod';

/** Who an entry is towards other entries. */
export interface Identity {
  holder: string;
  /** Where it takes links, as `ip:port`. */
  address: string;
  zone: string;
}

/** What a link tells its owner. */
export interface LinkOwner<M> {
  ready(link: Link<M>): void;
  message(link: Link<M>, message: M): void;
  closed(link: Link<M>, reason: string): void;
}

/** Longest time for both sides to prove the fleet key. */
const PROOF_TIMEOUT: Millis = 2_000;

/** Bytes that may wait on a link before messages are dropped. */
const MOST_WAITING_BYTES = 1024 * 1024;

/** One connection; messages pass once both sides proved the fleet key. */
export class Link<M> {
  private readonly reader = new FrameReader();
  private readonly nonce = randomId(16);
  private remote: Hello | undefined;
  private proven = false;
  private reported = false;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly socket: Socket,
    private readonly self: Identity,
    private readonly key: string,
    /** Shape of the messages that pass. */
    private readonly schema: z.ZodType<M>,
    private readonly owner: LinkOwner<M>,
  ) {
    socket.setNoDelay(true);
    socket.on('data', bytes => this.take(bytes));
    socket.on('error', error => this.close(error.message));
    socket.on('close', () => this.close('closed'));
    this.timer = setTimeout(() => {
      this.close('no proof in time');
    }, PROOF_TIMEOUT);
    const hello: Hello = {kind: 'hello', nonce: this.nonce, ...self};
    socket.write(encodeFrame(hello));
  }

  /** The other side, once proven. */
  peer(): Identity | undefined {
    return this.proven ? this.remote : undefined;
  }

  /** Sends a message; returns false when the link can't take it. */
  send(message: M): boolean {
    const full = this.socket.writableLength > MOST_WAITING_BYTES;
    if (!this.proven || full || this.socket.destroyed) {
      return false;
    }
    this.socket.write(encodeFrame(message));
    return true;
  }

  /** Ends the link. */
  close(reason: string): void {
    clearTimeout(this.timer);
    if (this.reported) {
      return;
    }
    this.reported = true;
    this.socket.destroy();
    this.owner.closed(this, reason);
  }

  private take(bytes: Buffer): void {
    const outcome = this.reader.push(bytes);
    if (!outcome.ok) {
      this.close('malformed frame');
      return;
    }
    for (const value of outcome.values) {
      if (this.reported) {
        return;
      }
      this.takeValue(value);
    }
  }

  private takeValue(value: unknown): void {
    if (this.remote === undefined) {
      this.takeHello(value);
    } else if (!this.proven) {
      this.takeProof(value, this.remote);
    } else {
      this.takeMessage(value);
    }
  }

  private takeHello(value: unknown): void {
    const checked = HELLO_SCHEMA.safeParse(value);
    // A stranger that claims to be us could pass our own proofs back to us.
    if (!checked.success || checked.data.holder === this.self.holder) {
      this.close('malformed hello');
      return;
    }
    this.remote = checked.data;
    const mine = {nonce: this.nonce, ...this.self};
    const proof = this.sign(mine, checked.data);
    this.socket.write(encodeFrame({kind: 'proof', proof}));
  }

  private takeProof(value: unknown, remote: Hello): void {
    const checked = PROOF_SCHEMA.safeParse(value);
    const mine = {nonce: this.nonce, ...this.self};
    const expected = this.sign(remote, mine);
    if (!checked.success || !sameSecret(checked.data.proof, expected)) {
      this.close('no proof of the fleet key');
      return;
    }
    this.proven = true;
    clearTimeout(this.timer);
    this.owner.ready(this);
  }

  private takeMessage(value: unknown): void {
    const checked = this.schema.safeParse(value);
    if (!checked.success) {
      this.close('malformed message');
      return;
    }
    this.owner.message(this, checked.data);
  }

  /** Proof by `signer` towards `other`, bound to both nonces. */
  private sign(
    signer: Omit<Hello, 'kind'>,
    other: Omit<Hello, 'kind'>,
  ): string {
    const parts = [signer, other].map(side => [
      side.holder,
      side.address,
      side.zone,
      side.nonce,
    ]);
    return createHmac('sha256', this.key)
      .update(JSON.stringify(parts))
      .digest('hex');
  }
}
