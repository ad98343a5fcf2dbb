/**
 * Validation of the operators' declarations, which are YAML files kept under
 * version control.
 */
import {z} from 'zod';
import {UpstreamKind} from '@citrontrestle/decisions';
import {parseSettings, readSettings, sha256} from '@citrontrestle/runtime';
import type {Declarations} from '@citrontrestle/decisions';
import type {SettingsResult} from '@citrontrestle/runtime';

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,63}$/;
const KEY_DIGEST_PATTERN = /^[0-9a-f]{64}$/;

const nameSchema = z
  .string()
  .regex(
    NAME_PATTERN,
    'must be 1 to 64 lower-case letters, digits and dashes, without a leading dash',
  );
const nonNegativeIntegerSchema = z.number().int().nonnegative();

const budgetSchema = z.strictObject({
  name: nameSchema,
  initialTokens: nonNegativeIntegerSchema,
});

const workClassSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(UpstreamKind),
  idempotent: z.boolean(),
  path: z.string().startsWith('/').optional(),
  priceTokens: nonNegativeIntegerSchema,
  firstTokenMs: nonNegativeIntegerSchema.optional(),
  wholeMs: z.number().int().positive(),
  importance: z.number().int().min(0).max(100),
});

const accountSchema = z.strictObject({
  name: nameSchema,
  keyDigests: z.array(
    z
      .string()
      .regex(KEY_DIGEST_PATTERN, 'must be a SHA-256 digest in lower-case hex'),
  ),
  budget: nameSchema,
  classes: z.array(nameSchema).min(1),
});

const fieldsSchema = z.strictObject({
  budgets: z.array(budgetSchema),
  classes: z.array(workClassSchema),
  accounts: z.array(accountSchema),
});

/** Declarations whose fields are valid, without their defaults. */
type DeclaredFields = z.infer<typeof fieldsSchema>;

/** Reports names that occur more than once in a section. */
function checkUnique(
  values: DeclaredFields,
  section: keyof DeclaredFields,
  context: z.RefinementCtx,
): void {
  const seenNames = new Set<string>();
  values[section].forEach((value, index) => {
    if (seenNames.has(value.name)) {
      const message = `${value.name} stands twice`;
      context.addIssue({
        code: 'custom',
        path: [section, index, 'name'],
        message,
      });
    }
    seenNames.add(value.name);
  });
}

/** Reports unknown budgets and classes, and API keys used more than once. */
function checkAccounts(values: DeclaredFields, context: z.RefinementCtx): void {
  const budgetNames = new Set(values.budgets.map(budget => budget.name));
  const classNames = new Set(values.classes.map(workClass => workClass.name));
  const accountsByKeyDigest = new Map<string, string>();
  values.accounts.forEach((account, index) => {
    const path = ['accounts', index];
    const addIssue = (field: string, message: string) =>
      context.addIssue({code: 'custom', path: [...path, field], message});
    if (!budgetNames.has(account.budget)) {
      addIssue('budget', `no budget ${account.budget}`);
    }
    for (const className of account.classes) {
      if (!classNames.has(className)) {
        addIssue('classes', `no class ${className}`);
      }
    }
    for (const keyDigest of account.keyDigests) {
      if (accountsByKeyDigest.has(keyDigest)) {
        addIssue(
          'keyDigests',
          `same key as account ${accountsByKeyDigest.get(keyDigest)}`,
        );
      }
      accountsByKeyDigest.set(keyDigest, account.name);
    }
  });
}

/** Reports fields that contradict the kind of the class. */
function checkClasses(values: DeclaredFields, context: z.RefinementCtx): void {
  values.classes.forEach((workClass, index) => {
    if (
      workClass.kind === UpstreamKind.Service &&
      workClass.path === undefined
    ) {
      const message = 'a service class needs a path';
      const path = ['classes', index, 'path'];
      context.addIssue({code: 'custom', path, message});
    }
    if (workClass.kind === UpstreamKind.Engine && !workClass.idempotent) {
      const message = 'an engine class must be idempotent';
      const path = ['classes', index, 'idempotent'];
      context.addIssue({code: 'custom', path, message});
    }
  });
}

/** Schema of the declarations of one deployment; fills in defaults. */
export const DECLARATIONS_SCHEMA: z.ZodType<Declarations> = fieldsSchema
  .superRefine((values, context) => {
    checkUnique(values, 'budgets', context);
    checkUnique(values, 'classes', context);
    checkUnique(values, 'accounts', context);
    checkAccounts(values, context);
    checkClasses(values, context);
  })
  .transform(values => ({
    ...values,
    classes: values.classes.map(workClass => ({
      ...workClass,
      path: workClass.path ?? '',
      firstTokenMs: workClass.firstTokenMs ?? 0,
    })),
  }));

/** Reads and validates a file of declarations. */
export function readDeclarations(file: string): SettingsResult<Declarations> {
  return readSettings(file, DECLARATIONS_SCHEMA);
}

/** Validates the YAML text of declarations; `file` is only used in errors. */
export function parseDeclarations(
  text: string,
  file: string,
): SettingsResult<Declarations> {
  return parseSettings(text, file, DECLARATIONS_SCHEMA);
}

/**
 * Returns the SHA-256 digest of declarations. Equal declarations have equal
 * digests if their items and fields are in the same order.
 */
export function declarationsDigest(declarations: Declarations): string {
  return sha256(JSON.stringify(declarations));
}
