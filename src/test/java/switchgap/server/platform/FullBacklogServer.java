package switchgap.server.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A worker whose accept backlog is full, so that connection attempts hang until it accepts. It
 * records the bytes that it receives from others.
 */
final class FullBacklogServer implements AutoCloseable {
  private static final int BACKLOG = 1;

  /** Number of connections that the server opens to itself to fill the backlog. */
  private static final int FILLING_CONNECTIONS = 2;

  private static final int READ_BUFFER_BYTES = 4096;

  private final ServerSocket listener =
      new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final StringBuilder received = new StringBuilder();

  FullBacklogServer() throws IOException {
    for (int i = 0; i < FILLING_CONNECTIONS; i++) {
      sockets.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
    }
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /**
   * Starts accepting connections, and reads from the first one that the server did not open itself.
   */
  void startAccepting() {
    Thread thread = new Thread(this::acceptConnections);
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    try {
      for (int number = 0; ; number++) {
        Socket socket = listener.accept();
        sockets.add(socket);
        if (number >= FILLING_CONNECTIONS) {
          read(socket.getInputStream());
        }
      }
    } catch (IOException e) {
      return; // this server was closed
    }
  }

  private void read(InputStream input) throws IOException {
    byte[] buffer = new byte[READ_BUFFER_BYTES];
    int length = input.read(buffer);
    while (length > 0) {
      append(new String(buffer, 0, length, ISO_8859_1));
      length = input.read(buffer);
    }
  }

  private synchronized void append(String text) {
    received.append(text);
    notifyAll();
  }

  /** Waits until the text has been received; returns false on timeout. */
  synchronized boolean awaitReceived(String text, long timeoutMillis) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
    long remainingMillis = timeoutMillis;
    while (received.indexOf(text) < 0 && remainingMillis > 0) {
      wait(remainingMillis);
      remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
    }
    return received.indexOf(text) >= 0;
  }

  /** The text received so far. */
  synchronized String received() {
    return received.toString();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
