/** Stand-in of a plain service: orders, status and stock. */
import {findMarker} from './run_recorder.js';
import {UpstreamStandIn} from './upstream.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';
import type {RunRecorder} from './run_recorder.js';

/** Speed of a plain service. */
export interface ServiceSpeed {
  /** Calls that run at once. */
  slots: number;
  /** Time for one call. */
  callMs: Millis;
}

/** A plain service of the trial's size. */
export const DEFAULT_SERVICE_SPEED: ServiceSpeed = {slots: 16, callMs: 5};

/** Stand-in of a plain service. */
export class ServiceStandIn extends UpstreamStandIn {
  private queuedCount = 0;

  constructor(
    id: string,
    runRecorder: RunRecorder,
    private readonly speed: ServiceSpeed = DEFAULT_SERVICE_SPEED,
  ) {
    super(id, speed.slots, runRecorder);
  }

  protected override waitingCount(): number {
    return this.queuedCount;
  }

  protected override async executeRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: Buffer,
    requestId: string,
  ): Promise<void> {
    const requestText = `${incoming.url} ${body.toString('utf8')}`;
    const marker = findMarker(decodeURIComponent(requestText));
    const runRecord = this.runRecorder.recordStart(this.id, requestId, marker);
    this.running += 1;
    await this.pause(this.speed.callMs);
    if (this.consumeFault('late')) {
      await this.pause(this.faults.lateMs);
    }
    this.running -= 1;
    if (this.consumeFault('cuts')) {
      outgoing.destroy();
      return;
    }
    const answerId = this.consumeFault('wrongIds')
      ? 'somebody-else'
      : requestId;
    const headers = {
      'content-type': 'application/json',
      'x-request-id': answerId,
    };
    outgoing.writeHead(200, headers);
    outgoing.end(
      JSON.stringify({marker, number: requestId, state: 'recorded'}),
    );
    runRecord.whole = true;
  }
}
