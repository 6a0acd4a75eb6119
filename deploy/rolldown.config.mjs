// Bundles the daemon for the platform into one file: a restart pays for every module that is read.
export default {
  input: 'platform/main.ts',
  platform: 'node',
  output: { file: 'target/oriolestack.js', format: 'esm' },
  treeshake: {
    // Entry files re-export adapters that the platform does not use; without this their packages
    // would be part of each start.
    moduleSideEffects: [
      {
        test: /[\\/]node_modules[\\/](undici|hot-shots|unix-dgram|bindings)[\\/]/,
        sideEffects: false,
      },
      { test: /[\\/]src[\\/]telemetry[\\/](enable-roarr|event-log)\.ts$/, sideEffects: true },
      { test: /[\\/]src[\\/]/, sideEffects: false },
    ],
  },
};
