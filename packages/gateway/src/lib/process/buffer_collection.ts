/**
 * Has the memory of buffers collected that are no longer used. The engine itself
 * does so only when tens of MiB of it have come together, whatever the size of
 * the machine; on a small one that is too late.
 */
import {getHeapStatistics} from 'node:v8';

/** The memory of buffers of this process. */
export interface BufferMemory {
  /** Returns the bytes of all buffers that have not been collected. */
  allocatedBytes(): number;
  /** Collects the buffers that are no longer used. */
  collect(): void;
}

/** The buffers of this process; collected only with Node's `--expose-gc`. */
export const PROCESS_BUFFERS: BufferMemory = {
  allocatedBytes: () => getHeapStatistics().external_memory,
  collect: () => globalThis.gc?.(),
};

/** Number of bytes after which the memory is looked at once more. */
const CHECK_INTERVAL_BYTES = 1024 * 1024;

/** Decides when the memory of buffers is collected. */
export class BufferCollection {
  /** Bytes that were read since the memory was last looked at. */
  private readBytes = 0;
  /** The least that was seen allocated since the last collection. */
  private leastBytes: number;

  constructor(
    private readonly memory: BufferMemory,
    /** Growth in bytes since then at which the memory is collected. */
    private readonly maxGrowth: number,
  ) {
    this.leastBytes = memory.allocatedBytes();
  }

  /** Records that bytes from outside were read into a buffer. */
  recordRead(bytes: number): void {
    this.readBytes += bytes;
    if (this.readBytes >= CHECK_INTERVAL_BYTES) {
      this.readBytes = 0;
      this.collectIfGrown();
    }
  }

  private collectIfGrown(): void {
    const allocated = this.memory.allocatedBytes();
    this.leastBytes = Math.min(this.leastBytes, allocated);
    if (allocated - this.leastBytes >= this.maxGrowth) {
      this.memory.collect();
      this.leastBytes = this.memory.allocatedBytes();
    }
  }
}
