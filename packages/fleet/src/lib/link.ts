/** One authenticated connection between two entries. */
import {createHmac} from 'node:crypto';
import {randomId, secretsEqual} from '@citrontrestle/runtime';
import {encodeFrame, FrameReader} from './frame.js';
import {HELLO_SCHEMA, PROOF_SCHEMA} from './message.js';
import type {Frame} from './frame.js';
import type {Hello} from './message.js';
import type {Millis} from '@citrontrestle/decisions';
import type {Socket} from 'node:net';
import type {z} from 'zod';

/** How an entry identifies itself to other entries. */
export interface EntryIdentity {
  /** Id of this run of the entry; a restarted entry has a new one. */
  holder: string;
  /** Address that accepts links, as `ip:port`. */
  address: string;
  zone: string;
}

/** Receives the events of a link. */
export interface LinkHandler<M> {
  /** The peer proved the fleet key; messages may be sent. */
  onAuthenticated(link: Link<M>): void;
  /** A message arrived as a frame of `bytes`. */
  onMessage(link: Link<M>, message: M, bytes: number): void;
  /** A message was written as a frame of `bytes`. */
  onSent(message: M, bytes: number): void;
  /** Called once, also for a link that was never authenticated. */
  onClosed(link: Link<M>, reason: string): void;
}

/** Maximum time for both sides to prove that they hold the fleet key. */
const AUTHENTICATION_TIMEOUT: Millis = 2_000;

/** Bytes buffered on a link above which `send` refuses messages. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** A connection to a peer; carries messages once the peer is authenticated. */
export class Link<M> {
  private readonly frameReader = new FrameReader();
  private readonly nonce = randomId(16);
  private peerHello: Hello | undefined;
  private isAuthenticated = false;
  private isClosed = false;
  private readonly authenticationTimer: NodeJS.Timeout;

  constructor(
    private readonly socket: Socket,
    private readonly self: EntryIdentity,
    private readonly fleetKey: string,
    /** Schema that every received message must match. */
    private readonly schema: z.ZodType<M>,
    private readonly handler: LinkHandler<M>,
  ) {
    socket.setNoDelay(true);
    socket.on('data', bytes => this.receive(bytes));
    socket.on('error', error => this.close(error.message));
    socket.on('close', () => this.close('closed'));
    this.authenticationTimer = setTimeout(() => {
      this.close('authentication timed out');
    }, AUTHENTICATION_TIMEOUT);
    const hello: Hello = {kind: 'hello', nonce: this.nonce, ...self};
    socket.write(encodeFrame(hello));
  }

  /** Identity of the peer once it is authenticated; undefined before. */
  peer(): EntryIdentity | undefined {
    return this.isAuthenticated ? this.peerHello : undefined;
  }

  /** Sends a message; returns false if not ready or the buffer is full. */
  send(message: M): boolean {
    const isBufferFull = this.socket.writableLength > MAX_BUFFERED_BYTES;
    if (!this.isAuthenticated || isBufferFull || this.socket.destroyed) {
      return false;
    }
    const frame = encodeFrame(message);
    this.socket.write(frame);
    this.handler.onSent(message, frame.length);
    return true;
  }

  /** Closes the link and reports it once; later calls have no effect. */
  close(reason: string): void {
    clearTimeout(this.authenticationTimer);
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.socket.destroy();
    this.handler.onClosed(this, reason);
  }

  private receive(bytes: Buffer): void {
    const outcome = this.frameReader.push(bytes);
    if (!outcome.ok) {
      this.close('frame is too large or not valid CBOR');
      return;
    }
    for (const frame of outcome.frames) {
      if (this.isClosed) {
        return;
      }
      this.handleFrame(frame);
    }
  }

  private handleFrame({value, bytes}: Frame): void {
    if (this.peerHello === undefined) {
      this.handleHello(value);
    } else if (!this.isAuthenticated) {
      this.handleProof(value, this.peerHello);
    } else {
      this.handleMessage(value, bytes);
    }
  }

  private handleHello(value: unknown): void {
    const parsed = HELLO_SCHEMA.safeParse(value);
    // A peer that claims our own holder id could replay our proof to us.
    if (!parsed.success || parsed.data.holder === this.self.holder) {
      this.close('malformed hello, or hello with the holder id of this entry');
      return;
    }
    this.peerHello = parsed.data;
    const ownHello = {nonce: this.nonce, ...this.self};
    const proof = this.computeProof(ownHello, parsed.data);
    this.socket.write(encodeFrame({kind: 'proof', proof}));
  }

  private handleProof(value: unknown, peerHello: Hello): void {
    const parsed = PROOF_SCHEMA.safeParse(value);
    const ownHello = {nonce: this.nonce, ...this.self};
    const expected = this.computeProof(peerHello, ownHello);
    if (!parsed.success || !secretsEqual(parsed.data.proof, expected)) {
      this.close('invalid proof of the fleet key');
      return;
    }
    this.isAuthenticated = true;
    clearTimeout(this.authenticationTimer);
    this.handler.onAuthenticated(this);
  }

  private handleMessage(value: unknown, bytes: number): void {
    const parsed = this.schema.safeParse(value);
    if (!parsed.success) {
      this.close('message does not match the schema');
      return;
    }
    this.handler.onMessage(this, parsed.data, bytes);
  }

  /** Proves the fleet key of `signer` to `other`: an HMAC over both nonces. */
  private computeProof(
    signer: Omit<Hello, 'kind'>,
    other: Omit<Hello, 'kind'>,
  ): string {
    const signedFields = [signer, other].map(side => [
      side.holder,
      side.address,
      side.zone,
      side.nonce,
    ]);
    return createHmac('sha256', this.fleetKey)
      .update(JSON.stringify(signedFields))
      .digest('hex');
  }
}
