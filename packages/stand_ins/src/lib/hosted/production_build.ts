/**
 * Builds the version of the gateway that is in production, so that tests can run
 * it beside the current one.
 */
import {execFileSync} from 'node:child_process';
import {
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import VError from 'verror';

/** Root folder of the repository. */
const REPOSITORY = fileURLToPath(new URL('../../../../../', import.meta.url));

/** Deploy file, which names the commit that is in production. */
const DEPLOY_FILE = join(REPOSITORY, 'deploy/system.toml');

const PRODUCTION_LINE = /^production = "([0-9a-f]+)"$/m;

/**
 * Returns the main module of the build in production. It is built from the
 * history once for each commit, below `target/`.
 */
export function productionProgram(): string {
  const deployFile = readFileSync(DEPLOY_FILE, 'utf8');
  const commit = PRODUCTION_LINE.exec(deployFile)?.[1];
  if (commit === undefined) {
    throw new VError('%s names no commit in production', DEPLOY_FILE);
  }
  const folder = join(REPOSITORY, 'target/production', commit);
  const program = join(folder, 'platform/dist/main.js');
  if (!existsSync(program)) {
    build(commit, folder);
  }
  return program;
}

/** Takes the sources of a commit from the history and compiles them. */
function build(commit: string, folder: string): void {
  rmSync(folder, {recursive: true, force: true});
  mkdirSync(folder, {recursive: true});
  const archive = execFileSync('git', ['archive', commit], {
    cwd: REPOSITORY,
    maxBuffer: 2 ** 30,
  });
  execFileSync('tar', ['-x'], {cwd: folder, input: archive});
  linkPackages(folder);
  execFileSync(
    process.execPath,
    [join(REPOSITORY, 'node_modules/typescript/bin/tsc'), '-b', 'platform'],
    {cwd: folder, stdio: ['ignore', 'inherit', 'inherit']},
  );
}

/**
 * Lets the packages of the old build find each other; other libraries are those
 * of the repository.
 */
function linkPackages(folder: string): void {
  const scope = join(folder, 'node_modules/@citrontrestle');
  mkdirSync(scope, {recursive: true});
  for (const name of readdirSync(join(folder, 'packages'))) {
    symlinkSync(join(folder, 'packages', name), join(scope, name));
  }
}
