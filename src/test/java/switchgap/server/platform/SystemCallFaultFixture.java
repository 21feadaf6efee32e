package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import switchgap.testbed.soak.SystemCallFaults;

/** Runs a router as a separate process whose system calls can be made to fail. */
abstract class SystemCallFaultFixture extends PlatformProcessFixture {
  private static final int CLIENT_COUNT = 60;
  private static final int REQUESTS_PER_CLIENT = 3;
  private static final int CONCURRENT_CLIENTS = 10;

  /** Number of requests that {@link #countServed} and {@link #countAnswered} send. */
  static final int REQUEST_COUNT = CLIENT_COUNT * REQUESTS_PER_CLIENT;

  @TempDir static Path libraryDirectory;
  private static Path library;

  /** Faults of the process, which may be injected before it starts. */
  SystemCallFaults faults;

  @BeforeAll
  static void compileLibrary() throws Exception {
    library = SystemCallFaults.compile(libraryDirectory);
  }

  @BeforeEach
  void prepareFaults() throws Exception {
    faults = SystemCallFaults.of(library, directory.resolve("faults"));
    environmentVariables.putAll(faults.environment());
  }

  /** Starts a router and waits until it serves requests; returns its port. */
  int startAndAwaitServing(RespTestServer... workers) throws Exception {
    startProcess(MANY_SOCKETS, workers);
    return awaitServingPort();
  }

  /** Like {@link #startAndAwaitServing}, but also sends requests to warm up the router's code. */
  int startAndWarmUp(RespTestServer worker) throws Exception {
    int port = startAndAwaitServing(worker);
    countServed(port);
    return port;
  }

  /**
   * Sends requests from concurrent clients, each sequentially on its own connection; returns the
   * number of requests that succeeded.
   */
  int countServed(int port) throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(CONCURRENT_CLIENTS);
    List<Future<Integer>> counts = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      int client = i;
      counts.add(threads.submit(() -> countServedOnOneConnection(port, client)));
    }
    int served = 0;
    for (Future<Integer> count : counts) {
      served += count.get();
    }
    threads.shutdown();
    assertThat(threads.awaitTermination(1, TimeUnit.SECONDS)).isTrue();
    return served;
  }

  private static int countServedOnOneConnection(int port, int client) throws Exception {
    int served = 0;
    try (ThriftTestClient connection = new ThriftTestClient(port)) {
      for (int number = 1; number <= REQUESTS_PER_CLIENT; number++) {
        String id = String.format("%016x", client * 100L + number);
        connection.submit(number, TestSubmit.idempotent(id));
        ThriftTestClient.Reply reply = connection.receiveReply();
        if (reply == null) {
          return served; // the connection was closed without an answer
        }
        served += reply.outcome() == ReplyOutcome.SUCCEEDED ? 1 : 0;
      }
    } catch (IOException e) {
      return served; // the connection was reset without an answer
    }
    return served;
  }

  /**
   * Sends requests for many functions from sequential clients; returns the number of requests that
   * were answered, successfully or not.
   */
  static int countAnswered(int port) throws Exception {
    int answered = 0;
    for (int client = 0; client < CLIENT_COUNT; client++) {
      try (ThriftTestClient connection = new ThriftTestClient(port)) {
        for (int number = 1; number <= REQUESTS_PER_CLIENT; number++) {
          String id = String.format("%016x", 0x100000L + client * 100L + number);
          connection.submit(number, TestSubmit.idempotent(id).function(client));
          answered += connection.receiveReply() == null ? 0 : 1;
        }
      }
    }
    return answered;
  }
}
