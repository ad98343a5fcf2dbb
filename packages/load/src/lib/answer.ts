/** Checks of answers against what the request asked for. */
import type {PlannedRequest} from './plan.js';

const OUTPUT_PIECE_PATTERN = /([A-Za-z0-9_-]+)\[(\d+)\+(\d+)\]/g;

/** What is wrong with an answer that claims to be whole. */
export enum AnswerFault {
  Foreign = 'foreign',
  Truncated = 'truncated',
}

/** Checks the content of a whole answer. */
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
    OUTPUT_PIECE_PATTERN,
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
