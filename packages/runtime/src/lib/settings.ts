/** YAML files checked against a schema, with file, line and column. */
import {readFileSync} from 'node:fs';
import {isMap, isNode, isScalar, LineCounter, parseDocument} from 'yaml';
import type {Document} from 'yaml';
import type {z} from 'zod';

/** One fault in a file; line and column count from 1. */
export interface SettingsFault {
  file: string;
  line: number;
  column: number;
  message: string;
}

/** A checked file, or what is wrong with it. */
export type SettingsOutcome<T> =
  {ok: true; value: T} | {ok: false; faults: SettingsFault[]};

/** One line for a person: `file:line:column: message`. */
export function describeFault(fault: SettingsFault): string {
  return `${fault.file}:${fault.line}:${fault.column}: ${fault.message}`;
}

/** Path of keys to an issue; an unknown key is part of its path. */
function pathsOf(issue: z.core.$ZodIssue): PropertyKey[][] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => [...issue.path, key]);
  }
  return [issue.path];
}

function offsetOf(document: Document, path: PropertyKey[]): number {
  for (let length = path.length; length > 0; length--) {
    const part = path.slice(0, length);
    const node: unknown = document.getIn(part, true);
    const own = isNode(node) ? node.range?.[0] : undefined;
    const offset = keyOffset(document, part) ?? own;
    if (offset !== undefined) {
      return offset;
    }
  }
  return 0;
}

/** Where the last key of a path stands, if it stands in a map. */
function keyOffset(
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

/** Checks YAML text; `file` is only named in faults. */
export function parseSettings<T>(
  text: string,
  file: string,
  schema: z.ZodType<T>,
): SettingsOutcome<T> {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  const at = (offset: number, message: string): SettingsFault => {
    const {line, col} = lines.linePos(offset);
    return {file, line: Math.max(1, line), column: Math.max(1, col), message};
  };
  if (document.errors.length > 0) {
    const faults = document.errors.map(error =>
      at(error.pos[0], error.message.split('\n')[0] ?? error.code),
    );
    return {ok: false, faults};
  }
  const checked = schema.safeParse(document.toJS());
  if (checked.success) {
    return {ok: true, value: checked.data};
  }
  const faults = checked.error.issues.flatMap(issue =>
    pathsOf(issue).map(path =>
      at(
        offsetOf(document, path),
        `${path.map(String).join('.') || 'file'}: ${issue.message}`,
      ),
    ),
  );
  return {ok: false, faults};
}

/** Reads and checks a YAML file. */
export function readSettings<T>(
  file: string,
  schema: z.ZodType<T>,
): SettingsOutcome<T> {
  try {
    return parseSettings(readFileSync(file, 'utf8'), file, schema);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return {ok: false, faults: [{file, line: 1, column: 1, message}]};
  }
}
