/** The difference between two sets of declarations. */
import type {Declarations} from '@citrontrestle/decisions';

/** Kinds of changes. */
export enum ChangeKind {
  Add = 'add',
  Change = 'change',
  Remove = 'remove',
}

/** One change of a plan. */
export interface Change {
  kind: ChangeKind;
  part: keyof Declarations;
  name: string;
}

const PARTS: (keyof Declarations)[] = ['budgets', 'classes', 'accounts'];

/** Changes that lead from one set of declarations to another. */
export function planChanges(from: Declarations, to: Declarations): Change[] {
  return PARTS.flatMap(part => planPart(from, to, part));
}

function planPart(
  from: Declarations,
  to: Declarations,
  part: keyof Declarations,
): Change[] {
  const before = byName(from[part]);
  const after = byName(to[part]);
  const changes: Change[] = [];
  for (const [name, text] of after) {
    const old = before.get(name);
    if (old === undefined) {
      changes.push({kind: ChangeKind.Add, part, name});
    } else if (old !== text) {
      changes.push({kind: ChangeKind.Change, part, name});
    }
  }
  for (const name of before.keys()) {
    if (!after.has(name)) {
      changes.push({kind: ChangeKind.Remove, part, name});
    }
  }
  return changes;
}

function byName(values: {name: string}[]): Map<string, string> {
  return new Map(values.map(value => [value.name, JSON.stringify(value)]));
}
