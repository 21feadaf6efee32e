package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** All tables and queues of a router at their bounds at the same time, in the deployed heap. */
class HeapBoundsProcessTest extends PlatformProcessFixture {
  private static final int MAX_SOCKETS = 1024;
  private static final int WORKERS = 3200;
  private static final int UNKNOWN_FUNCTION_CLIENTS = 6;
  private static final int FLOODING_CONNECTIONS = 60;
  private static final int HOLDING_CONNECTIONS = 8;
  private static final int HELD_PER_CONNECTION = 60;
  private static final int BODY_CHARACTERS = 16_000;

  /** More than the router tracks at a time. */
  private static final int UNKNOWN_FUNCTIONS = 5000;

  private static final long MAX_MILLIS = 60_000;
  private static final long LIST_INTERVAL_MILLIS = 500;

  /** A function whose requests get no reply from workers. */
  private static final String SILENT_FUNCTION = "00000000000000ff";

  /** Replies to nothing for the silent function, and does not have any other one. */
  private static boolean handle(RespTestServer.Command command, OutputStream output)
      throws IOException {
    boolean isForSilent = command.words().toString().contains(SILENT_FUNCTION);
    switch (command.name()) {
      case RespTestServer.EXECUTE -> {
        if (!isForSilent) {
          RespTestServer.sendReply(
              output, command.id(), RespTestServer.NOT_LOADED, RespTestServer.NO_REPORT, "");
        }
        return true;
      }
      case RespTestServer.LOAD -> {
        String count = isForSilent ? "count=1" : "count=0";
        String status = isForSilent ? RespTestServer.SUCCEEDED : RespTestServer.FAILED;
        RespTestServer.sendReply(output, command.id(), status, count, "");
        return true;
      }
      default -> {
        return RespTestServer.executeAll(command, output);
      }
    }
  }

  /** A client that keeps requests with large bodies open, which only their timeouts end. */
  private void startHoldingClient(int port, int number) throws IOException {
    ThriftTestClient connection = new ThriftTestClient(port);
    resources.add(0, connection);
    Thread thread = new Thread(() -> holdRequests(connection, number), "holding-" + number);
    thread.setDaemon(true);
    thread.start();
  }

  private static void holdRequests(ThriftTestClient connection, int number) {
    String body = "x".repeat(BODY_CHARACTERS);
    try {
      for (int sequenceId = 1; ; sequenceId++) {
        String id = String.format("%08x%08x", 0xb0 + number, sequenceId);
        connection.submit(
            sequenceId, TestSubmit.idempotent(id).function(SILENT_FUNCTION).body(body));
        if (sequenceId > HELD_PER_CONNECTION && connection.receiveReply() == null) {
          return;
        }
      }
    } catch (Exception e) {
      return; // closed at the end of the test
    }
  }

  /** A complete endpoint list in which a third of the workers have restarted. */
  private static String listWithRestarts(long sequence, String address) {
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      long bootMillis = i % 3 == sequence % 3 ? System.currentTimeMillis() : 0;
      endpoints.add(EventStreamTestServer.endpoint("w" + i, address, "SERVING", bootMillis));
    }
    return EventStreamTestServer.endpointListEvent(
        sequence, true, endpoints.toArray(new String[0]));
  }

  /** Guards against bounds whose sum exceeds the heap, so that the process exits. */
  @Test
  void staysWithinHeapWithAllTablesAtTheirBounds() throws Exception {
    try (RespTestServer worker = new RespTestServer(HeapBoundsProcessTest::handle)) {
      startDeployedProcess(MAX_SOCKETS, WORKERS, worker);
      int port = awaitServingPort();
      await(eventStream::hasClient);
      for (int i = 0; i < HOLDING_CONNECTIONS; i++) {
        startHoldingClient(port, i);
      }
      long endNanos = System.nanoTime() + MAX_MILLIS * 1_000_000;
      try (FloodingClients flood = new FloodingClients(port, FLOODING_CONNECTIONS);
          UnknownFunctionClients unknown =
              new UnknownFunctionClients(port, UNKNOWN_FUNCTION_CLIENTS)) {
        for (long sequence = 2; unknown.requestedFunctions() < UNKNOWN_FUNCTIONS; sequence++) {
          assertThat(process.isAlive()).as(processLog()).isTrue();
          assertThat(System.nanoTime()).as("time").isLessThan(endNanos);
          eventStream.sendEvent(listWithRestarts(sequence, worker.address()));
          Thread.sleep(LIST_INTERVAL_MILLIS);
        }
      }
      assertThat(process.isAlive()).as(processLog()).isTrue();
    }
  }
}
