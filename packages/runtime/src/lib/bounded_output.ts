/** Output in the background: lines are dropped rather than block the caller. */
import {write} from 'node:fs';

/** Lines are dropped while more characters than this wait to be written. */
const MAX_PENDING_LENGTH = 512 * 1024;

/** Writes lines to a file descriptor in the background. */
export class BoundedOutput {
  private pendingLines: string[] = [];
  private pendingLength = 0;
  private isWriting = false;
  private dropCount = 0;

  constructor(private readonly descriptor: number) {}

  /** Number of drops so far; a batch that can't be written counts as one. */
  droppedCount(): number {
    return this.dropCount;
  }

  /** Queues a line, or drops it if too much is waiting. */
  writeLine(text: string): void {
    if (this.pendingLength > MAX_PENDING_LENGTH) {
      this.dropCount += 1;
      return;
    }
    this.pendingLines.push(text);
    this.pendingLength += text.length + 1;
    this.flush();
  }

  private flush(): void {
    if (this.isWriting || this.pendingLines.length === 0) {
      return;
    }
    const bytes = Buffer.from(`${this.pendingLines.join('\n')}\n`);
    this.pendingLines = [];
    this.pendingLength = 0;
    this.isWriting = true;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    write(this.descriptor, bytes, (error, count) => {
      if (error === null && count < bytes.length) {
        this.writeAll(bytes.subarray(count));
        return;
      }
      if (error !== null) {
        // The reader may have closed the pipe. The batch counts as one drop.
        this.dropCount += 1;
      }
      this.isWriting = false;
      this.flush();
    });
  }
}
