package switchgap.testbed.emulator;

import java.util.function.Consumer;

/** From where a worker fetches the files of a function. */
public interface FunctionFetcher {
  /**
   * Fetches a function.
   *
   * @param worker name of the worker
   * @param function name of the function
   * @param micros time that the fetch takes alone, microseconds
   * @param callback called once with true when fetched, false when refused or interrupted
   */
  void fetch(String worker, String function, long micros, Consumer<Boolean> callback);
}
