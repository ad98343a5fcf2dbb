/** YAML files validated against a schema; errors have file, line and column. */
import {readFileSync} from 'node:fs';
import {isMap, isNode, isScalar, LineCounter, parseDocument} from 'yaml';
import type {Document} from 'yaml';
import type {z} from 'zod';

/** An error in a file; lines and columns start at 1. */
export interface SettingsError {
  file: string;
  line: number;
  column: number;
  message: string;
}

/** The validated content of a file, or its errors. */
export type SettingsResult<T> =
  {ok: true; value: T} | {ok: false; errors: SettingsError[]};

/** Formats an error as `file:line:column: message`. */
export function formatSettingsError(error: SettingsError): string {
  return `${error.file}:${error.line}:${error.column}: ${error.message}`;
}

/** Paths of the keys that an issue is about; one path for each unknown key. */
function issuePaths(issue: z.core.$ZodIssue): PropertyKey[][] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => [...issue.path, key]);
  }
  return [issue.path];
}

/** Offset in the text of the longest part of a path that exists, or 0. */
function findOffset(document: Document, path: PropertyKey[]): number {
  for (let length = path.length; length > 0; length--) {
    const prefix = path.slice(0, length);
    const node: unknown = document.getIn(prefix, true);
    const nodeOffset = isNode(node) ? node.range?.[0] : undefined;
    const offset = findKeyOffset(document, prefix) ?? nodeOffset;
    if (offset !== undefined) {
      return offset;
    }
  }
  return 0;
}

/** Offset in the text of the last key of a path, if its parent is a map. */
function findKeyOffset(
  document: Document,
  path: PropertyKey[],
): number | undefined {
  const parent: unknown = document.getIn(path.slice(0, -1), true);
  if (!isMap(parent)) {
    return undefined;
  }
  const pair = parent.items.find(
    item => isScalar(item.key) && item.key.value === path.at(-1),
  );
  return isScalar(pair?.key) ? pair.key.range?.[0] : undefined;
}

/** Parses and validates YAML text; `file` is only used in errors. */
export function parseSettings<T>(
  text: string,
  file: string,
  schema: z.ZodType<T>,
): SettingsResult<T> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, {lineCounter});
  const errorAt = (offset: number, message: string): SettingsError => {
    const {line, col} = lineCounter.linePos(offset);
    return {file, line: Math.max(1, line), column: Math.max(1, col), message};
  };
  if (document.errors.length > 0) {
    const syntaxErrors = document.errors.map(error =>
      errorAt(error.pos[0], error.message.split('\n')[0] ?? error.code),
    );
    return {ok: false, errors: syntaxErrors};
  }
  // A file is read once, so code generated for its schema would not pay.
  const parsed = schema.safeParse(document.toJS(), {jitless: true});
  if (parsed.success) {
    return {ok: true, value: parsed.data};
  }
  const schemaErrors = parsed.error.issues.flatMap(issue =>
    issuePaths(issue).map(path =>
      errorAt(
        findOffset(document, path),
        `${path.map(String).join('.') || 'file'}: ${issue.message}`,
      ),
    ),
  );
  return {ok: false, errors: schemaErrors};
}

/** Reads and validates a YAML file; a read failure is returned as an error. */
export function readSettings<T>(
  file: string,
  schema: z.ZodType<T>,
): SettingsResult<T> {
  try {
    return parseSettings(readFileSync(file, 'utf8'), file, schema);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return {ok: false, errors: [{file, line: 1, column: 1, message}]};
  }
}
