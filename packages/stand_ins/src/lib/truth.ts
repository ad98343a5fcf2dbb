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

const MARKER = /marker:([A-Za-z0-9_-]+)/;

/** Finds the load tool's marker in a request. */
export function markerOf(text: string): string {
  return MARKER.exec(text)?.[1] ?? '';
}

/** Records runs. */
export class Truth {
  readonly runs: RunRecord[] = [];

  /** Notes the start of a run. */
  begin(upstream: string, id: string, marker: string): RunRecord {
    const run = {id, upstream, marker, tokens: 0, whole: false};
    this.runs.push(run);
    return run;
  }
}
