/** Bounds the bytes from outside that the process keeps at a time. */

/** Bytes that are kept for all requests together. */
export class HeldBytes {
  private total = 0;

  /** @param limit maximum number of bytes. */
  constructor(readonly limit: number) {}

  /** Keeps more bytes; returns false, and keeps none, if there is no room. */
  tryHold(bytes: number): boolean {
    const hasRoom = this.total + bytes <= this.limit;
    if (hasRoom) {
      this.total += bytes;
    }
    return hasRoom;
  }

  /** Returns bytes that are no longer kept. */
  release(bytes: number): void {
    this.total -= bytes;
  }

  /** Returns the number of bytes that are kept. */
  held(): number {
    return this.total;
  }
}

/** The part of `HeldBytes` that one request has. */
export class HeldPart {
  private bytes = 0;

  constructor(private readonly all: HeldBytes) {}

  /** Changes the number of bytes; returns false if there is no room for more. */
  resize(bytes: number): boolean {
    const growth = bytes - this.bytes;
    if (growth > 0 && !this.all.tryHold(growth)) {
      return false;
    }
    if (growth < 0) {
      this.all.release(-growth);
    }
    this.bytes = bytes;
    return true;
  }

  /** Keeps more bytes; returns false, and keeps none, if there is no room. */
  tryGrow(bytes: number): boolean {
    return this.resize(this.bytes + bytes);
  }
}
