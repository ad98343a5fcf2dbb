/**
 * Record of the requests that the upstreams executed, against which the load
 * tool and tests compare what callers saw.
 */

/** One request that an upstream executed. */
export interface RunRecord {
  /** Request identifier that the entry sent to the upstream. */
  id: string;
  /** Identifier of the upstream. */
  upstream: string;
  /** Marker that the load tool put into the request; empty without one. */
  marker: string;
  /** Prompt and output tokens used so far; 0 for plain services. */
  tokens: number;
  /** Whether the whole answer was written. */
  whole: boolean;
}

/** Matches the marker that the load tool puts into a request. */
const MARKER_PATTERN = /marker:([A-Za-z0-9_-]+)/;

/** Returns the load tool's marker in a request; empty if there is none. */
export function findMarker(text: string): string {
  return MARKER_PATTERN.exec(text)?.[1] ?? '';
}

/** Records the requests that the upstreams execute. */
export class RunRecorder {
  /** Executed requests, oldest first. */
  readonly runs: RunRecord[] = [];

  /**
   * Records that an upstream begins to execute a request. Returns the record,
   * which the upstream updates as it goes on.
   */
  recordStart(upstream: string, requestId: string, marker: string): RunRecord {
    const runRecord = {
      id: requestId,
      upstream,
      marker,
      tokens: 0,
      whole: false,
    };
    this.runs.push(runRecord);
    return runRecord;
  }
}
