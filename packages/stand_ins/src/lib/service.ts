/** Stand-in of a plain service: orders, status and stock. */
import {markerOf} from './truth.js';
import {UpstreamStandIn} from './upstream.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';
import type {Truth} from './truth.js';

/** Speed of a plain service. */
export interface ServiceSpeed {
  /** Calls that run at once. */
  slots: number;
  /** Time for one call. */
  callMs: Millis;
}

/** A plain service of the trial's size. */
export const SERVICE_SPEED: ServiceSpeed = {slots: 16, callMs: 5};

/** Stand-in of a plain service. */
export class ServiceStandIn extends UpstreamStandIn {
  private queued = 0;

  constructor(
    id: string,
    truth: Truth,
    private readonly speed: ServiceSpeed = SERVICE_SPEED,
  ) {
    super(id, speed.slots, truth);
  }

  protected override waiting(): number {
    return this.queued;
  }

  protected override async run(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: Buffer,
    id: string,
  ): Promise<void> {
    const text = `${incoming.url} ${body.toString('utf8')}`;
    const marker = markerOf(decodeURIComponent(text));
    const run = this.truth.begin(this.id, id, marker);
    this.running += 1;
    await this.pause(this.speed.callMs);
    if (this.spend('late')) {
      await this.pause(this.faults.lateMs);
    }
    this.running -= 1;
    if (this.spend('cuts')) {
      outgoing.destroy();
      return;
    }
    const shown = this.spend('wrongIds') ? 'somebody-else' : id;
    const headers = {'content-type': 'application/json', 'x-request-id': shown};
    outgoing.writeHead(200, headers);
    outgoing.end(JSON.stringify({marker, number: id, state: 'recorded'}));
    run.whole = true;
  }
}
