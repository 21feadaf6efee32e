package switchgap.testbed.emulator;

import java.util.function.Consumer;

/** Fetches the files of functions for workers, from a store. */
public interface FunctionFetcher {
  /**
   * Fetches a function.
   *
   * @param worker name of the worker
   * @param function name of the function
   * @param fetchMicros duration of the fetch at normal speed and without overload, in microseconds
   * @param callback called once: with true if the fetch succeeded, with false if it was refused or
   *     interrupted
   */
  void fetch(String worker, String function, long fetchMicros, Consumer<Boolean> callback);
}
