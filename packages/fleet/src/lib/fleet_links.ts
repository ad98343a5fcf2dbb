/** The connections of one entry to its peers, opened by either side. */
import {connect, createServer} from 'node:net';
import {listenPersistently, splitAddress} from '@citrontrestle/runtime';
import {Link} from './link.js';
import type {EntryIdentity, LinkHandler} from './link.js';
import type {Log} from '@citrontrestle/runtime';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {z} from 'zod';

/** Receives the messages that arrive on authenticated links. */
export interface FleetMessageHandler<M> {
  /** Called for each message; it arrived as a frame of `bytes`. */
  onMessage(from: EntryIdentity, message: M, bytes: number): void;
  /** Called for each message that was written, as a frame of `bytes`. */
  onSent?(message: M, bytes: number): void;
}

/** Address and credentials of this entry towards other entries. */
export interface FleetSettings {
  /** Id of this run of the entry; a restarted entry has a new one. */
  holder: string;
  zone: string;
  /** Secret shared by all entries of the fleet. */
  fleetKey: string;
  host: string;
  port: number;
  /** Address that other entries connect to, if it is not the bound address. */
  advertise?: string | undefined;
}

/** A message that waits for a link, and the run that it is for, if not any. */
interface QueuedMessage<M> {
  message: M;
  holder: string | undefined;
}

/** Maximum number of messages queued while a link is being established. */
const MAX_QUEUED_MESSAGES = 1_000;

/**
 * The links of one entry to other entries. Both sides may open a link at the
 * same time; messages go out on the one that was authenticated last.
 */
export class FleetLinks<M> implements LinkHandler<M> {
  private readonly server: Server;
  /** Link used for messages to each peer, by the peer's address. */
  private readonly linksByAddress = new Map<string, Link<M>>();
  /** All links, authenticated or not. */
  private readonly openLinks = new Set<Link<M>>();
  /** Messages that wait for a link being established, by its address. */
  private readonly queuedByAddress = new Map<string, QueuedMessage<M>[]>();
  /** Address that each outgoing link was opened to. */
  private readonly dialledAddresses = new Map<Link<M>, string>();
  private ownIdentity: EntryIdentity | undefined;

  constructor(
    private readonly settings: FleetSettings,
    /** Schema that every received message must match. */
    private readonly schema: z.ZodType<M>,
    private readonly handler: FleetMessageHandler<M>,
    private readonly log: Log,
  ) {
    this.server = createServer(socket => {
      this.openLinks.add(this.createLink(socket));
    });
  }

  /**
   * Starts to listen; resolves to the address that others connect to. Links to
   * others can be opened before that if the address is advertised.
   */
  async start(): Promise<string> {
    const {host, port, holder, zone, advertise} = this.settings;
    if (advertise !== undefined) {
      this.ownIdentity = {holder, zone, address: advertise};
    }
    await listenPersistently(this.server, `${host}:${port}`, this.log);
    const boundAddress = this.server.address() as AddressInfo;
    const address = advertise ?? `${host}:${boundAddress.port}`;
    this.ownIdentity = {holder, zone, address};
    return address;
  }

  /**
   * Sends a message to the entry at an address; delivery isn't guaranteed.
   * @param holder id of the run that the message is for. Another run at the
   *     address doesn't get it. Undefined for any run.
   */
  send(address: string, message: M, holder?: string): void {
    const link = this.linksByAddress.get(address);
    if (link !== undefined && !isRun(link, holder)) {
      return;
    }
    if (link?.send(message)) {
      return;
    }
    const queue = this.queuedByAddress.get(address);
    if (queue !== undefined) {
      if (queue.length < MAX_QUEUED_MESSAGES) {
        queue.push({message, holder});
      }
      return;
    }
    this.queuedByAddress.set(address, [{message, holder}]);
    this.dial(address);
  }

  /** Closes the link to an address; the next message opens a new one. */
  closeLink(address: string, reason: string): void {
    this.linksByAddress.get(address)?.close(reason);
  }

  /** Stops listening and closes all links. */
  stop(): void {
    this.server.close();
    for (const link of [...this.openLinks]) {
      link.close('stopped');
    }
  }

  /** Uses a new link for its peer, and sends the messages queued for it. */
  onAuthenticated(link: Link<M>): void {
    const peer = link.peer();
    if (peer === undefined) {
      return;
    }
    this.linksByAddress.set(peer.address, link);
    const address = this.dialledAddresses.get(link) ?? peer.address;
    const queued = this.queuedByAddress.get(address) ?? [];
    this.queuedByAddress.delete(address);
    for (const {message, holder} of queued) {
      if (isRun(link, holder)) {
        link.send(message);
      }
    }
  }

  /** Passes a message on to the handler. */
  onMessage(link: Link<M>, message: M, bytes: number): void {
    const peer = link.peer();
    if (peer !== undefined) {
      this.handler.onMessage(peer, message, bytes);
    }
  }

  /** Passes on that a message was written. */
  onSent(message: M, bytes: number): void {
    this.handler.onSent?.(message, bytes);
  }

  /** Forgets a link, together with the messages queued for it. */
  onClosed(link: Link<M>, reason: string): void {
    this.openLinks.delete(link);
    const address = this.dialledAddresses.get(link);
    this.dialledAddresses.delete(link);
    if (address !== undefined) {
      this.queuedByAddress.delete(address);
    }
    const peer = link.peer();
    if (peer !== undefined && this.linksByAddress.get(peer.address) === link) {
      this.linksByAddress.delete(peer.address);
    } else if (peer === undefined) {
      this.log.warn('link.refused', {reason, address});
    }
  }

  private dial(address: string): void {
    const link = this.createLink(connect(splitAddress(address)));
    this.openLinks.add(link);
    this.dialledAddresses.set(link, address);
  }

  private createLink(socket: Socket): Link<M> {
    const {ownIdentity} = this;
    const identity = ownIdentity ?? {holder: '', address: '', zone: ''};
    const {fleetKey} = this.settings;
    return new Link(socket, identity, fleetKey, this.schema, this);
  }
}

/** Whether a link leads to a run of an entry; any run if undefined. */
function isRun<M>(link: Link<M>, holder: string | undefined): boolean {
  return holder === undefined || link.peer()?.holder === holder;
}
