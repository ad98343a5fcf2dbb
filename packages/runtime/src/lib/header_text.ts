/** Which texts may stand in the head of an HTTP message. */

const NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
/** Half of a pair of UTF-16 code units, which has no bytes in UTF-8. */
const LONE_SURROGATE = /\p{Surrogate}/u;

const REQUEST_TARGET = /^[\x21-\x7e\x80-\xff]+$/;

/** Whether a text may be the name of a header. */
export function isHeaderName(text: string): boolean {
  return NAME.test(text);
}

/** Whether a text may be the value of a header, one byte a character. */
export function isHeaderValue(text: string): boolean {
  return VALUE.test(text);
}

/** Whether a text may be the target of a request. */
export function isRequestTarget(text: string): boolean {
  return REQUEST_TARGET.test(text);
}

/**
 * Returns the value of a header that stands for a text: its bytes in UTF-8.
 * Undefined if the text can't stand in a header, as it has control characters,
 * or space at an end, which a receiver strips.
 */
export function headerValueOf(text: string): string | undefined {
  const value = Buffer.from(text, 'utf8').toString('latin1');
  const isSound = !LONE_SURROGATE.test(text) && VALUE.test(value);
  return isSound && value.trim() === value ? value : undefined;
}
