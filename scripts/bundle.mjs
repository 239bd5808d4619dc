/** Bundles the platform build of the gateway into one file, which starts faster. */
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/applebend.mjs',
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
