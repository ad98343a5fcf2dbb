/** Declarations of the operators: YAML under version control, checked. */
import {z} from 'zod';
import {UpstreamKind} from '@citrontrestle/decisions';
import {parseSettings, readSettings, sha256} from '@citrontrestle/runtime';
import type {Declarations} from '@citrontrestle/decisions';
import type {SettingsResult} from '@citrontrestle/runtime';

const NAME = /^[a-z0-9][a-z0-9-]{0,63}$/;
const KEY_DIGEST = /^[0-9a-f]{64}$/;

const name = z.string().regex(NAME, 'must be lower-case, digits and dashes');
const whole = z.number().int().nonnegative();

const budget = z.strictObject({name, initialTokens: whole});

const workClass = z.strictObject({
  name,
  kind: z.enum(UpstreamKind),
  idempotent: z.boolean(),
  path: z.string().startsWith('/').optional(),
  priceTokens: whole,
  firstTokenMs: whole.optional(),
  wholeMs: z.number().int().positive(),
  importance: z.number().int().min(0).max(100),
});

const account = z.strictObject({
  name,
  keyDigests: z.array(
    z.string().regex(KEY_DIGEST, 'must be a SHA-256 digest in hex'),
  ),
  budget: name,
  classes: z.array(name).min(1),
});

const shape = z.strictObject({
  budgets: z.array(budget),
  classes: z.array(workClass),
  accounts: z.array(account),
});

type Shape = z.infer<typeof shape>;

/** Reports names that stand twice. */
function checkUnique(
  values: Shape,
  part: keyof Shape,
  context: z.RefinementCtx,
): void {
  const seen = new Set<string>();
  values[part].forEach((value, index) => {
    if (seen.has(value.name)) {
      const message = `${value.name} stands twice`;
      context.addIssue({code: 'custom', path: [part, index, 'name'], message});
    }
    seen.add(value.name);
  });
}

function checkAccounts(values: Shape, context: z.RefinementCtx): void {
  const budgets = new Set(values.budgets.map(one => one.name));
  const classes = new Set(values.classes.map(one => one.name));
  const keys = new Map<string, string>();
  values.accounts.forEach((one, index) => {
    const path = ['accounts', index];
    const complain = (field: string, message: string) =>
      context.addIssue({code: 'custom', path: [...path, field], message});
    if (!budgets.has(one.budget)) {
      complain('budget', `no budget ${one.budget}`);
    }
    for (const used of one.classes) {
      if (!classes.has(used)) {
        complain('classes', `no class ${used}`);
      }
    }
    for (const key of one.keyDigests) {
      if (keys.has(key)) {
        complain('keyDigests', `same key as account ${keys.get(key)}`);
      }
      keys.set(key, one.name);
    }
  });
}

function checkClasses(values: Shape, context: z.RefinementCtx): void {
  values.classes.forEach((one, index) => {
    if (one.kind === UpstreamKind.Service && one.path === undefined) {
      const message = 'a service class needs a path';
      const path = ['classes', index, 'path'];
      context.addIssue({code: 'custom', path, message});
    }
    if (one.kind === UpstreamKind.Engine && !one.idempotent) {
      const message = 'engine work is always idempotent';
      const path = ['classes', index, 'idempotent'];
      context.addIssue({code: 'custom', path, message});
    }
  });
}

/** Shape of the declarations of one deployment. */
export const DECLARATIONS_SCHEMA: z.ZodType<Declarations> = shape
  .superRefine((values, context) => {
    checkUnique(values, 'budgets', context);
    checkUnique(values, 'classes', context);
    checkUnique(values, 'accounts', context);
    checkAccounts(values, context);
    checkClasses(values, context);
  })
  .transform(values => ({
    ...values,
    classes: values.classes.map(one => ({
      ...one,
      path: one.path ?? '',
      firstTokenMs: one.firstTokenMs ?? 0,
    })),
  }));

/** Reads and checks a file of declarations. */
export function readDeclarations(file: string): SettingsResult<Declarations> {
  return readSettings(file, DECLARATIONS_SCHEMA);
}

/** Checks the text of declarations. */
export function parseDeclarations(
  text: string,
  file: string,
): SettingsResult<Declarations> {
  return parseSettings(text, file, DECLARATIONS_SCHEMA);
}

/** Digest of declarations; equal declarations have equal digests. */
export function digestOf(declarations: Declarations): string {
  return sha256(JSON.stringify(declarations));
}
