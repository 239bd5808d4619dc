/**
 * Bundles the platform build of the gateway, which starts faster: a small file that
 * handles signals, and the program, which that file loads.
 */
import {build} from 'esbuild';

await build({
  entryPoints: {applebend: 'platform/src/main.ts'},
  outdir: 'target',
  outExtension: {'.js': '.mjs'},
  chunkNames: '[name]',
  splitting: true,
  bundle: true,
  minify: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  external: ['@opentelemetry/*'],
  // Saves the search for a native addon, which the bundle does not contain.
  define: {'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"'},
  // Bundled CommonJS modules call `require`, which ES modules do not have.
  banner: {
    js: "import {createRequire} from 'node:module';const require=createRequire(import.meta.url);",
  },
});
