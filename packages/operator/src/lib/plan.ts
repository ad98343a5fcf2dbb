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

const SECTIONS: (keyof Declarations)[] = ['budgets', 'classes', 'accounts'];

/** Changes that lead from one set of declarations to another. */
export function planChanges(from: Declarations, to: Declarations): Change[] {
  return SECTIONS.flatMap(section => planSectionChanges(from, to, section));
}

function planSectionChanges(
  from: Declarations,
  to: Declarations,
  section: keyof Declarations,
): Change[] {
  const oldJsonByName = serializeByName(from[section]);
  const newJsonByName = serializeByName(to[section]);
  const changes: Change[] = [];
  for (const [name, newJson] of newJsonByName) {
    const oldJson = oldJsonByName.get(name);
    if (oldJson === undefined) {
      changes.push({kind: ChangeKind.Add, part: section, name});
    } else if (oldJson !== newJson) {
      changes.push({kind: ChangeKind.Change, part: section, name});
    }
  }
  for (const name of oldJsonByName.keys()) {
    if (!newJsonByName.has(name)) {
      changes.push({kind: ChangeKind.Remove, part: section, name});
    }
  }
  return changes;
}

function serializeByName(items: {name: string}[]): Map<string, string> {
  return new Map(items.map(item => [item.name, JSON.stringify(item)]));
}
