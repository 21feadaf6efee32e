package switchgap.testbed.process;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports for programs under test and waits until a program listens. Thread-safe. */
public final class LoopbackPorts {
  private static final long LISTEN_TIMEOUT_NANOS = 15_000_000_000L;
  private static final long POLL_PERIOD_MILLIS = 20;

  private LoopbackPorts() {}

  /**
   * Finds free ports. All are bound until the last one is found, so that no two are the same; then
   * all are released, and another process may take one before the caller uses it.
   *
   * @throws IOException if a port can't be bound
   */
  public static int[] findFree(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0));
      }
      return sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }

  /**
   * Waits until a program accepts connections at a port of 127.0.0.1.
   *
   * @throws IOException if none does within 15 s
   */
  public static void awaitListening(int port) throws IOException {
    long deadline = System.nanoTime() + LISTEN_TIMEOUT_NANOS;
    while (true) {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        return;
      } catch (IOException e) {
        if (System.nanoTime() > deadline) {
          throw new IOException("no program listens at port " + port, e);
        }
        pause();
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_PERIOD_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
