/** The links of one entry: taken and dialled, one used for each peer. */
import {connect, createServer} from 'node:net';
import {splitAddress} from '@citrontrestle/runtime';
import {Link} from './link.js';
import type {Identity, LinkOwner} from './link.js';
import type {Log} from '@citrontrestle/runtime';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {z} from 'zod';

/** What the fleet tells its owner. */
export interface FleetOwner<M> {
  message(from: Identity, message: M): void;
}

/** Settings of the links. */
export interface FleetSettings {
  holder: string;
  zone: string;
  /** Secret that all entries of the fleet share. */
  key: string;
  host: string;
  port: number;
  /** Address that others dial, when it is not the bound one. */
  advertise?: string | undefined;
}

/** Messages kept for a link that is being set up. */
const MOST_QUEUED = 1_000;

/** The links of one entry to other entries. */
export class Fleet<M> implements LinkOwner<M> {
  private readonly server: Server;
  private readonly links = new Map<string, Link<M>>();
  private readonly open = new Set<Link<M>>();
  private readonly dialling = new Map<string, M[]>();
  private readonly dialled = new Map<Link<M>, string>();
  private self: Identity | undefined;

  constructor(
    private readonly settings: FleetSettings,
    /** Shape of the messages that pass. */
    private readonly schema: z.ZodType<M>,
    private readonly owner: FleetOwner<M>,
    private readonly log: Log,
  ) {
    this.server = createServer(socket => {
      this.open.add(this.link(socket));
    });
  }

  /** Starts to take links; returns the address that others dial. */
  start(): Promise<string> {
    const {host, port, holder, zone, advertise} = this.settings;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        const bound = this.server.address() as AddressInfo;
        const address = advertise ?? `${host}:${bound.port}`;
        this.self = {holder, zone, address};
        resolve(address);
      });
    });
  }

  /** Sends a message to the entry at an address; it may be lost. */
  send(address: string, message: M): void {
    const link = this.links.get(address);
    if (link?.send(message)) {
      return;
    }
    const queue = this.dialling.get(address);
    if (queue !== undefined) {
      if (queue.length < MOST_QUEUED) {
        queue.push(message);
      }
      return;
    }
    this.dialling.set(address, [message]);
    this.dial(address);
  }

  /** Ends the link to an address; the next message opens another. */
  drop(address: string, reason: string): void {
    this.links.get(address)?.close(reason);
  }

  /** Ends all links. */
  stop(): void {
    this.server.close();
    for (const link of [...this.open]) {
      link.close('stopped');
    }
  }

  /** Called by a link. */
  ready(link: Link<M>): void {
    const peer = link.peer();
    if (peer === undefined) {
      return;
    }
    this.links.set(peer.address, link);
    const address = this.dialled.get(link) ?? peer.address;
    const queued = this.dialling.get(address) ?? [];
    this.dialling.delete(address);
    for (const message of queued) {
      link.send(message);
    }
  }

  /** Called by a link. */
  message(link: Link<M>, message: M): void {
    const peer = link.peer();
    if (peer !== undefined) {
      this.owner.message(peer, message);
    }
  }

  /** Called by a link. */
  closed(link: Link<M>, reason: string): void {
    this.open.delete(link);
    const address = this.dialled.get(link);
    this.dialled.delete(link);
    if (address !== undefined) {
      this.dialling.delete(address);
    }
    const peer = link.peer();
    if (peer !== undefined && this.links.get(peer.address) === link) {
      this.links.delete(peer.address);
    } else if (peer === undefined) {
      this.log.warn('link.refused', {reason, address});
    }
  }

  private dial(address: string): void {
    const link = this.link(connect(splitAddress(address)));
    this.open.add(link);
    this.dialled.set(link, address);
  }

  private link(socket: Socket): Link<M> {
    const {self} = this;
    const identity = self ?? {holder: '', address: '', zone: ''};
    const {key} = this.settings;
    return new Link(socket, identity, key, this.schema, this);
  }
}
