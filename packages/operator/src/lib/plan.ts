/** Differences between two sets of declarations. */
import type {Declarations} from '@citrontrestle/decisions';

/** Kind of a change to one declared item. */
export enum ChangeKind {
  Add = 'add',
  Change = 'change',
  Remove = 'remove',
}

/** One added, changed or removed item. */
export interface Change {
  kind: ChangeKind;
  /** Section of the declarations that holds the item. */
  part: keyof Declarations;
  name: string;
}

const SECTIONS: (keyof Declarations)[] = ['budgets', 'classes', 'accounts'];

/** Returns the changes that turn the declarations `from` into `to`. */
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

/** Returns the JSON text of each item by its name. */
function serializeByName(items: {name: string}[]): Map<string, string> {
  return new Map(items.map(item => [item.name, JSON.stringify(item)]));
}
