/** Stand-in for a plain service, which answers each call after a fixed time. */
import {findMarker} from './run_recorder.js';
import {UpstreamStandIn} from './upstream.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';
import type {RunRecorder} from './run_recorder.js';

/** Capacity and speed of a plain service. */
export interface ServiceSpeed {
  /**
   * Number of slots in the load report; more calls than that may run at once.
   */
  slots: number;
  /** Time that a call takes. */
  callMs: Millis;
}

/**
 * Default speed, sized for trial runs; the embedded fleet of the load tool uses
 * the same values.
 */
export const DEFAULT_SERVICE_SPEED: ServiceSpeed = {slots: 16, callMs: 5};

/** Stand-in for a plain service, such as orders, status or stock. */
export class ServiceStandIn extends UpstreamStandIn {
  /** Always 0, because calls do not wait for a slot. */
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
