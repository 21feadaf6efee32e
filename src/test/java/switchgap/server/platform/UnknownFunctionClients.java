package switchgap.server.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that each keep as many requests open as the protocol allows, every one for a function
 * that was not requested before and that no worker has. They read all replies.
 */
final class UnknownFunctionClients implements AutoCloseable {
  private static final int OPEN_REQUESTS = 32;

  /** Number of the first unknown function; smaller numbers are left to other clients. */
  private static final long FIRST_FUNCTION = 1L << 32;

  private final List<ThriftTestClient> connections = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicLong requestedFunctions = new AtomicLong();
  private volatile boolean isEnded;

  /** Opens the connections and starts to send. */
  UnknownFunctionClients(int port, int clients) throws IOException {
    for (int i = 0; i < clients; i++) {
      ThriftTestClient connection = new ThriftTestClient(port);
      connections.add(connection);
      threads.add(new Thread(() -> run(connection), "unknown-functions-" + i));
    }
    threads.forEach(Thread::start);
  }

  /** Whether workers have the function with this id. */
  static boolean isKnown(String function) {
    return Long.parseLong(function, 16) < FIRST_FUNCTION;
  }

  private void run(ThriftTestClient connection) {
    try {
      for (int open = 0; open < OPEN_REQUESTS; open++) {
        submit(connection);
      }
      while (connection.receiveReply() != null) {
        submit(connection);
      }
    } catch (Exception e) {
      if (!isEnded) {
        throw new IllegalStateException(e);
      }
    }
  }

  private void submit(ThriftTestClient connection) throws Exception {
    long function = FIRST_FUNCTION + requestedFunctions.incrementAndGet();
    String id = TestSubmit.functionId(function);
    connection.submit((int) function, TestSubmit.idempotent(id).function(id));
  }

  /** Number of functions that were requested so far. */
  long requestedFunctions() {
    return requestedFunctions.get();
  }

  @Override
  public void close() throws Exception {
    isEnded = true;
    for (ThriftTestClient connection : connections) {
      connection.close();
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }
}
