/**
 * Base of the stand-ins for both kinds of upstreams, with faults and load
 * reports.
 */
import {z} from 'zod';
import {HttpListener, readBody, sendJson} from '@citrontrestle/runtime';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';
import type {RunRecorder} from './run_recorder.js';

/** Schema of the faults of an upstream. */
export const UPSTREAM_FAULTS_SCHEMA = z.strictObject({
  /** Whether each request but those to /faults closes its connection. */
  down: z.boolean().optional(),
  /** Factor by which all times are multiplied. */
  slow: z.number().positive().optional(),
  /** Whether new requests are rejected because the upstream is leaving. */
  leaving: z.boolean().optional(),
  /**
   * Text that stops the upstream for good if a request contains it; empty for
   * none.
   */
  crashOn: z.string().optional(),
  /** Number of next answers with a wrong request identifier. */
  wrongIds: z.number().int().nonnegative().optional(),
  /** Number of next answers that are cut off before their end. */
  cuts: z.number().int().nonnegative().optional(),
  /** Number of next answers that are delayed by `lateMs`. */
  late: z.number().int().nonnegative().optional(),
  /** Delay of the answers that `late` counts. */
  lateMs: z.number().nonnegative().optional(),
  /** Whether the connection is closed when a load report is requested. */
  mute: z.boolean().optional(),
});

/** Faults of an upstream. */
export type UpstreamFaults = z.infer<typeof UPSTREAM_FAULTS_SCHEMA>;

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Base of the stand-ins for upstreams. */
export abstract class UpstreamStandIn {
  protected readonly faults: Required<UpstreamFaults> = {
    down: false,
    slow: 1,
    leaving: false,
    crashOn: '',
    wrongIds: 0,
    cuts: 0,
    late: 0,
    lateMs: 0,
    mute: false,
  };
  /** Number of requests that are being executed. */
  protected running = 0;
  /** Whether a request contained the text `crashOn`. */
  private crashed = false;
  private readonly listener = new HttpListener((incoming, outgoing) =>
    this.handleRequest(incoming, outgoing),
  );

  constructor(
    readonly id: string,
    protected readonly slots: number,
    protected readonly runRecorder: RunRecorder,
  ) {}

  /**
   * Starts listening; port 0 chooses a free one. Returns the address as
   * `ip:port`.
   */
  start(host: string, port = 0): Promise<string> {
    return this.listener.listen(host, port);
  }

  /** Stops listening and closes all connections. */
  stop(): Promise<void> {
    return this.listener.stop();
  }

  /** Returns whether a request stopped the upstream for good. */
  hasCrashed(): boolean {
    return this.crashed;
  }

  /** Sets the given faults; the others stay as they are. */
  setFaults(faults: UpstreamFaults): void {
    Object.assign(this.faults, faults);
  }

  /** Executes and answers one request. */
  protected abstract executeRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: Buffer,
    requestId: string,
  ): Promise<void>;

  /** Returns the number of requests that wait for a slot. */
  protected abstract waitingCount(): number;

  /** Waits for a duration multiplied by the fault `slow`. */
  protected pause(duration: Millis): Promise<void> {
    const scaledDuration = duration * this.faults.slow;
    return new Promise(resolve => setTimeout(resolve, scaledDuration));
  }

  /**
   * Returns whether a counted fault applies to the current request, and reduces
   * its count by one if it does.
   */
  protected consumeFault(fault: 'wrongIds' | 'cuts' | 'late'): boolean {
    if (this.faults[fault] <= 0) {
      return false;
    }
    this.faults[fault] -= 1;
    return true;
  }

  private async handleRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    if (incoming.url === '/faults') {
      await this.updateFaults(incoming, outgoing);
      return;
    }
    if (this.faults.down || this.crashed) {
      incoming.socket.destroy();
      return;
    }
    if (incoming.url === '/load') {
      this.sendLoadReport(incoming, outgoing);
      return;
    }
    const requestId = String(incoming.headers['x-request-id'] ?? '');
    if (this.faults.leaving) {
      // A client can tell a refusal that is sent again by the identifier.
      const headers = {'x-not-run': 'leaving', 'x-request-id': requestId};
      sendJson(outgoing, 503, {error: 'leaving'}, headers);
      return;
    }
    const body = await readBody(incoming, MAX_BODY_BYTES);
    const {crashOn} = this.faults;
    if (crashOn !== '' && body.includes(crashOn)) {
      this.crashed = true;
      await this.listener.stop();
      return;
    }
    await this.executeRequest(incoming, outgoing, body, requestId);
  }

  /** Answers with the current load, or not at all with the fault `mute`. */
  private sendLoadReport(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): void {
    if (this.faults.mute) {
      incoming.socket.destroy();
      return;
    }
    sendJson(outgoing, 200, {
      running: this.running,
      waiting: this.waitingCount(),
      slots: this.slots,
      leaving: this.faults.leaving,
    });
  }

  private async updateFaults(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const body = await readBody(incoming, MAX_BODY_BYTES);
    const parsed = UPSTREAM_FAULTS_SCHEMA.safeParse(
      JSON.parse(body.toString() || '{}'),
    );
    if (!parsed.success) {
      sendJson(outgoing, 400, {error: parsed.error.message});
      return;
    }
    this.setFaults(parsed.data);
    sendJson(outgoing, 200, {});
  }
}
