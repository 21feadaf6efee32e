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

/** A router as a process under which system calls fail. */
abstract class SystemCallFaultFixture extends PlatformProcessFixture {
  private static final int CLIENT_COUNT = 60;
  private static final int REQUESTS_PER_CLIENT = 3;
  private static final int CONCURRENT_CLIENTS = 10;

  /** Requests that {@link #countServed} and {@link #countAnswered} send. */
  static final int REQUEST_COUNT = CLIENT_COUNT * REQUESTS_PER_CLIENT;

  @TempDir static Path libraryDirectory;
  private static Path library;

  /** The faults of the process; may be injected before it starts. */
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

  /** Starts a router and waits until it serves; returns its port. */
  int startAndAwaitServing(RespTestServer... workers) throws Exception {
    startProcess(MANY_SOCKETS, workers);
    return awaitServingPort();
  }

  /** The same, with its code warmed up by requests. */
  int startAndWarmUp(RespTestServer worker) throws Exception {
    int port = startAndAwaitServing(worker);
    countServed(port);
    return port;
  }

  /**
   * Concurrent clients send requests, each on its connection one after the other; returns how many
   * requests succeeded.
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
          return served; // closed without an answer
        }
        served += reply.outcome() == ReplyOutcome.SUCCEEDED ? 1 : 0;
      }
    } catch (IOException e) {
      return served; // reset without an answer
    }
    return served;
  }

  /**
   * Clients one after the other send requests for many functions; returns how many requests had any
   * answer.
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
