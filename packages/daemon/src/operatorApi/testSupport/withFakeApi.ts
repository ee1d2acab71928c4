/** Runs a test against an API of its own. */
import { startFakeOperatorApi, type FakeOperatorApi } from './fakeOperatorApi.js';

/** A test that gets a fresh API, which is closed after it. */
export const withFakeApi =
  (run: (api: FakeOperatorApi) => Promise<void>): (() => Promise<void>) =>
  async () => {
    const api = await startFakeOperatorApi();
    try {
      await run(api);
    } finally {
      await api.close();
    }
  };
