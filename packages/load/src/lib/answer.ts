/** Checks of answers against what the request asked for. */
import type {Planned} from './plan.js';

const PIECE = /([A-Za-z0-9_-]+)\[(\d+)\+(\d+)\]/g;

/** What is wrong with an answer that claims to be whole. */
export enum AnswerFault {
  Foreign = 'foreign',
  Truncated = 'truncated',
}

/** Checks the content of a whole answer. */
export function checkAnswer(
  planned: Planned,
  content: string,
): AnswerFault | undefined {
  if (planned.outputTokens === 0) {
    const own = content.includes(`"marker":"${planned.marker}"`);
    return own ? undefined : AnswerFault.Foreign;
  }
  let made = 0;
  for (const [, marker, from, count] of content.matchAll(PIECE)) {
    if (marker !== planned.marker) {
      return AnswerFault.Foreign;
    }
    if (Number(from) !== made) {
      return AnswerFault.Truncated;
    }
    made += Number(count);
  }
  return made === planned.outputTokens ? undefined : AnswerFault.Truncated;
}
