package switchgap.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A scenario of four workers and two routers in one process. */
final class SmallScenario {
  private static final String DOCUMENT =
      """
      day: {name: small, length: SECONDSs, seed: 5, tick: 10ms}
      fleet:
        workers: 4
        keep_alive: 8s
        kinds: {k: {share: 1, cores: 2, speed: 1, memory: 6000}}
      routers: {count: 2, busiest: 0.6, most_come_back: 1s, processes: one}
      load: {rate: RATE, functions: 6}
      workloads:
        status-refresh: {share: 0.7, start_target: 400ms, time_limit: 2s, repeat: restartable,
          late_share: 0.1, memory: 300, lanes: 2, load: 400ms, work: 60ms}
        notice-send: {share: 0.3, start_target: 800ms, time_limit: 3s, importance: 2,
          repeat: run-once, memory: 300, lanes: 2, load: 400ms, work: 60ms}
      customers: {x: {rate: 40, share: 0.5}, y: {rate: 40, share: 0.5}}
      """;

  private SmallScenario() {}

  /**
   * Writes the scenario document, with the given length in seconds and rate in requests per second.
   */
  static Path write(Path directory, int seconds, int rate) throws IOException {
    String document =
        DOCUMENT.replace("SECONDS", String.valueOf(seconds)).replace("RATE", String.valueOf(rate));
    return Files.writeString(directory.resolve("scenario-" + rate + ".yaml"), document);
  }
}
