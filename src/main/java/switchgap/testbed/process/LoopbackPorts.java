package switchgap.testbed.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Ports of the loopback address that are reserved for programs under test, until they are released.
 * Each is bound by a socket that does not listen. Linux gives such a port to no other socket that
 * asks for any free port, neither to listen nor to connect, but lets a program bind it by its
 * number and listen if the program sets SO_REUSEADDR.
 */
public final class LoopbackPorts implements AutoCloseable {
  private static final long LISTEN_TIMEOUT_NANOS = 15_000_000_000L;
  private static final long POLL_PERIOD_MILLIS = 20;

  private final List<Socket> reservations = new ArrayList<>();

  private LoopbackPorts() {}

  /**
   * Reserves free ports.
   *
   * @throws IOException if a port can't be bound
   */
  public static LoopbackPorts reserve(int count) throws IOException {
    LoopbackPorts ports = new LoopbackPorts();
    try {
      for (int i = 0; i < count; i++) {
        ports.reserveNext();
      }
    } catch (IOException e) {
      ports.close();
      throw e;
    }
    return ports;
  }

  private void reserveNext() throws IOException {
    Socket reservation = new Socket();
    reservations.add(reservation);
    reservation.setReuseAddress(true);
    reservation.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /** Returns a reserved port by its index. */
  public int get(int index) {
    return reservations.get(index).getLocalPort();
  }

  /** Releases the ports. Programs that listen at them are not affected. */
  @Override
  public void close() throws IOException {
    for (Socket reservation : reservations) {
      reservation.close();
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
