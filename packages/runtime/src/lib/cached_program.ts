/** Loads a bundled program together with its compiled code, if that is valid. */
import {createHash} from 'node:crypto';
import {readFileSync, renameSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {Script} from 'node:vm';

/** What became of the compiled code when a program was loaded. */
export enum CompiledCode {
  Used = 'used',
  /** There is none, it is damaged, or it belongs to another program. */
  Missing = 'missing',
  /** It was made by another version of Node or with other options. */
  Rejected = 'rejected',
}

/** A loaded program. */
export interface LoadedProgram<T> {
  /** What its main module exports. */
  exports: T;
  compiledCode: CompiledCode;
}

/** Signature of the function that Node wraps around a CommonJS module. */
type ModuleFunction = (
  exports: unknown,
  require: NodeJS.Require,
  module: {exports: unknown},
) => void;

/** Suffix of the file that holds the compiled code of a program. */
const CODE_SUFFIX = '.code';

/** Length of the digest before the compiled code, in bytes. */
const DIGEST_BYTES = 32;

/**
 * A program bundled into one CommonJS file of ASCII text. Its compiled code is
 * kept in a file next to it; without a valid one, Node compiles the text.
 */
export class CachedProgram<T> {
  /** The text, wrapped into a function as Node wraps modules. */
  private readonly source: string;
  private readonly bytes: Buffer;
  private readonly codePath: string;

  /** @param path absolute path of the bundle. */
  constructor(private readonly path: string) {
    this.bytes = readFileSync(path);
    const text = this.bytes.toString('latin1');
    this.source = `(function (exports, require, module) {${text}\n})`;
    this.codePath = `${path}${CODE_SUFFIX}`;
  }

  /** Evaluates the program. */
  load(): LoadedProgram<T> {
    const cachedData = this.readCode();
    const script = this.createScript(cachedData);
    return {
      exports: this.evaluate(script),
      compiledCode: compiledCode(cachedData, script),
    };
  }

  /** Evaluates the program and stores its compiled code. */
  storeCode(): void {
    const script = this.createScript();
    this.evaluate(script);
    // Made last, so that it holds the functions that an evaluation calls.
    const code = script.createCachedData();
    const newPath = `${this.codePath}.new`;
    writeFileSync(newPath, Buffer.concat([this.digestOf(code), code]));
    renameSync(newPath, this.codePath);
  }

  /**
   * Returns a digest of the text and its compiled code: V8 compares only the
   * lengths of texts, and runs code that was damaged.
   */
  private digestOf(code: Buffer): Buffer {
    return createHash('sha256').update(this.bytes).update(code).digest();
  }

  private createScript(cachedData?: Buffer): Script {
    return new Script(this.source, {filename: this.path, cachedData});
  }

  private evaluate(script: Script): T {
    const moduleFunction = script.runInThisContext() as ModuleFunction;
    const module = {exports: {}};
    moduleFunction(module.exports, createRequire(this.path), module);
    return module.exports as T;
  }

  /** Returns the compiled code, if it is whole and belongs to this text. */
  private readCode(): Buffer | undefined {
    let bytes: Buffer;
    try {
      bytes = readFileSync(this.codePath);
    } catch {
      // The program runs as well without.
      return undefined;
    }
    const code = bytes.subarray(DIGEST_BYTES);
    const isOwn = bytes.subarray(0, DIGEST_BYTES).equals(this.digestOf(code));
    return isOwn ? code : undefined;
  }
}

function compiledCode(
  cachedData: Buffer | undefined,
  script: Script,
): CompiledCode {
  if (cachedData === undefined) {
    return CompiledCode.Missing;
  }
  return script.cachedDataRejected === true
    ? CompiledCode.Rejected
    : CompiledCode.Used;
}
