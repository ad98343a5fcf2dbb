/** Output that never blocks its writer: lines above a bound are dropped. */
import {write} from 'node:fs';

/** Most bytes that wait to be written. */
const MOST_WAITING_BYTES = 512 * 1024;

/** Lines written to a file descriptor in the background. */
export class BoundedOutput {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private writing = false;
  private lost = 0;

  constructor(private readonly descriptor: number) {}

  /** Lines dropped so far. */
  dropped(): number {
    return this.lost;
  }

  /** Queues one line, or drops it. */
  line(text: string): void {
    if (this.waitingBytes > MOST_WAITING_BYTES) {
      this.lost += 1;
      return;
    }
    this.waiting.push(text);
    this.waitingBytes += text.length + 1;
    this.flush();
  }

  private flush(): void {
    if (this.writing || this.waiting.length === 0) {
      return;
    }
    const bytes = Buffer.from(`${this.waiting.join('\n')}\n`);
    this.waiting = [];
    this.waitingBytes = 0;
    this.writing = true;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    write(this.descriptor, bytes, (error, count) => {
      if (error === null && count < bytes.length) {
        this.writeAll(bytes.subarray(count));
        return;
      }
      if (error !== null) {
        // Nobody reads the output: its lines are lost, and counted.
        this.lost += 1;
      }
      this.writing = false;
      this.flush();
    });
  }
}
