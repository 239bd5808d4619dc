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
  banner: {
    js: "import {createRequire} from 'node:module';const require=createRequire(import.meta.url);",
  },
});
