/** Checks answers against what the requests asked for. */
import type {PlannedRequest} from './plan.js';

/** Matches the output text of the stand-in engines: `marker[offset+count]`. */
const OUTPUT_CHUNK_PATTERN = /([A-Za-z0-9_-]+)\[(\d+)\+(\d+)\]/g;

/** Why an answer that was sent as complete is wrong. */
export enum AnswerFault {
  /** It belongs to another request. */
  Foreign = 'foreign',
  /** Output tokens are missing. */
  Truncated = 'truncated',
}

/**
 * Checks the content of an answer that was sent as complete. Returns undefined
 * if the content is that of the planned request and no tokens are missing.
 */
export function checkAnswer(
  planned: PlannedRequest,
  content: string,
): AnswerFault | undefined {
  if (planned.outputTokens === 0) {
    const hasMarker = content.includes(`"marker":"${planned.marker}"`);
    return hasMarker ? undefined : AnswerFault.Foreign;
  }
  let receivedTokens = 0;
  for (const [, marker, offset, tokenCount] of content.matchAll(
    OUTPUT_CHUNK_PATTERN,
  )) {
    if (marker !== planned.marker) {
      return AnswerFault.Foreign;
    }
    if (Number(offset) !== receivedTokens) {
      return AnswerFault.Truncated;
    }
    receivedTokens += Number(tokenCount);
  }
  return receivedTokens === planned.outputTokens
    ? undefined
    : AnswerFault.Truncated;
}
