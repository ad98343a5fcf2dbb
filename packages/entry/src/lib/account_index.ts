/** Authorization of requests by the configuration in force. */
import {sha256} from '@citrontrestle/runtime';
import {RefusalCode} from '@citrontrestle/caller';
import type {
  ClientAccount,
  Configuration,
  UpstreamKind,
  WorkClass,
} from '@citrontrestle/decisions';

/** The account and class of an authorized request, or why it is refused. */
export type AuthorizationResult =
  | {ok: true; account: ClientAccount; workClass: WorkClass}
  | {ok: false; code: RefusalCode};

/** Accounts by API key and work classes by name, for one configuration. */
export class AccountIndex {
  private readonly accountsByKeyDigest = new Map<string, ClientAccount>();
  private readonly classesByName = new Map<string, WorkClass>();

  constructor(configuration: Configuration) {
    const {accounts, classes} = configuration.declarations;
    for (const account of accounts) {
      for (const digest of account.keyDigests) {
        this.accountsByKeyDigest.set(digest, account);
      }
    }
    for (const workClass of classes) {
      this.classesByName.set(workClass.name, workClass);
    }
  }

  /** Checks that an API key may use a work class on a kind of upstream. */
  authorize(
    apiKey: string,
    className: string,
    kind: UpstreamKind,
  ): AuthorizationResult {
    // Looking up the digest rather than the key prevents timing attacks: the
    // time doesn't depend on how many characters of a guessed key are right.
    const account = this.accountsByKeyDigest.get(sha256(apiKey));
    if (account === undefined) {
      return {ok: false, code: RefusalCode.UnknownApiKey};
    }
    const workClass = this.classesByName.get(className);
    if (workClass?.kind !== kind) {
      return {ok: false, code: RefusalCode.UnknownClass};
    }
    if (!account.classes.includes(className)) {
      return {ok: false, code: RefusalCode.ClassNotAllowed};
    }
    return {ok: true, account, workClass};
  }
}
