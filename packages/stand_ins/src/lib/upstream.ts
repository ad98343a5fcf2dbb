/** What the stand-ins of both kinds of upstreams share. */
import {z} from 'zod';
import {HttpListener, readBody, sendJson} from '@citrontrestle/runtime';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Millis} from '@citrontrestle/decisions';
import type {RunRecorder} from './run_recorder.js';

/** Shape of the faults of an upstream. */
export const UPSTREAM_FAULTS_SCHEMA = z.strictObject({
  /** Connections are cut at once. */
  down: z.boolean().optional(),
  /** Factor on all times. */
  slow: z.number().positive().optional(),
  /** Refuses new work as "leaving". */
  leaving: z.boolean().optional(),
  /** Stops for good at a request that contains this text. */
  crashOn: z.string().optional(),
  /** So many next answers carry a wrong identifier. */
  wrongIds: z.number().int().nonnegative().optional(),
  /** So many next answers are cut in the middle. */
  cuts: z.number().int().nonnegative().optional(),
  /** So many next answers come after this extra time. */
  late: z.number().int().nonnegative().optional(),
  lateMs: z.number().nonnegative().optional(),
  /** Load reports are not answered. */
  mute: z.boolean().optional(),
});

/** Faults of an upstream. */
export type UpstreamFaults = z.infer<typeof UPSTREAM_FAULTS_SCHEMA>;

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Base of the upstream stand-ins. */
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
  protected running = 0;
  private crashed = false;
  private readonly listener = new HttpListener((incoming, outgoing) =>
    this.handleRequest(incoming, outgoing),
  );

  constructor(
    readonly id: string,
    protected readonly slots: number,
    protected readonly runRecorder: RunRecorder,
  ) {}

  /** Starts to listen; returns the address. */
  start(host: string, port = 0): Promise<string> {
    return this.listener.listen(host, port);
  }

  /** Ends at once. */
  stop(): Promise<void> {
    return this.listener.stop();
  }

  /** Whether a request crashed it. */
  hasCrashed(): boolean {
    return this.crashed;
  }

  /** Sets faults; what is not named stays. */
  setFaults(faults: UpstreamFaults): void {
    Object.assign(this.faults, faults);
  }

  /** Runs one request. */
  protected abstract executeRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: Buffer,
    requestId: string,
  ): Promise<void>;

  /** Requests that wait for a slot. */
  protected abstract waitingCount(): number;

  /** Waits, scaled by the "slow" fault. */
  protected pause(duration: Millis): Promise<void> {
    const scaledDuration = duration * this.faults.slow;
    return new Promise(resolve => setTimeout(resolve, scaledDuration));
  }

  /** Takes one from a counted fault; returns whether it applies. */
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
    if (this.faults.leaving) {
      const headers = {'x-not-run': 'leaving'};
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
    const requestId = incoming.headers['x-request-id'];
    await this.executeRequest(
      incoming,
      outgoing,
      body,
      String(requestId ?? ''),
    );
  }

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
