/** What really ran at the upstreams, recorded by the stand-ins. */

/** One run at an upstream. */
export interface RunRecord {
  /** Identifier that the entry sent. */
  id: string;
  upstream: string;
  /** Marker that the load tool put into the request, if any. */
  marker: string;
  /** Prompt and output tokens used; 0 for plain services. */
  tokens: number;
  /** Whether the whole answer was written. */
  whole: boolean;
}

const MARKER_PATTERN = /marker:([A-Za-z0-9_-]+)/;

/** Finds the load tool's marker in a request. */
export function findMarker(text: string): string {
  return MARKER_PATTERN.exec(text)?.[1] ?? '';
}

/** Records runs. */
export class RunRecorder {
  readonly runs: RunRecord[] = [];

  /** Notes the start of a run. */
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
