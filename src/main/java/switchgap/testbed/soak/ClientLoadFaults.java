package switchgap.testbed.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Injects load from additional clients: idle connections and request floods. */
final class ClientLoadFaults {
  private static final int IDLE_CONNECTIONS = 250;
  private static final int FLOOD_REQUESTS = 300;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final int READ_BUFFER_BYTES = 1 << 16;

  private final RouterPool routers;

  ClientLoadFaults(RouterPool routers) {
    this.routers = routers;
  }

  Map<SoakFaultType, SoakFaultInjector> injectors() {
    return Map.of(
        SoakFaultType.CLIENT_STAYS,
        (fault, random) -> holdIdleConnections(routers.pick(random), fault.durationMillis()),
        SoakFaultType.CLIENT_FLOOD,
        (fault, random) -> flood(routers.pick(random), fault.durationMillis()));
  }

  private static void connect(Socket socket, ServeProcess router) throws IOException {
    socket.connect(new InetSocketAddress("127.0.0.1", router.port()), CONNECT_TIMEOUT_MILLIS);
  }

  private static void holdIdleConnections(ServeProcess router, int durationMillis)
      throws IOException, InterruptedException {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < IDLE_CONNECTIONS && router.isInRotation(); i++) {
        Socket socket = new Socket();
        sockets.add(socket);
        connect(socket, router);
      }
    } catch (IOException e) {
      // The router accepts no further connection or has exited.
      Thread.sleep(1);
    }
    Thread.sleep(durationMillis);
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private static void flood(ServeProcess router, int readTimeoutMillis)
      throws InterruptedException {
    try (Socket socket = new Socket()) {
      connect(socket, router);
      socket.setSoTimeout(readTimeoutMillis);
      for (int i = 1; i <= FLOOD_REQUESTS; i++) {
        socket.getOutputStream().write(floodRequest(i));
      }
      InputStream responses = socket.getInputStream();
      byte[] discardedBytes = new byte[READ_BUFFER_BYTES];
      for (int bytesRead = responses.read(discardedBytes);
          bytesRead > 0;
          bytesRead = responses.read(discardedBytes)) {
        Thread.sleep(1);
      }
    } catch (IOException e) {
      // The router closed the connection, or all responses have been read.
      return;
    }
  }

  private static byte[] floodRequest(int number) throws IOException {
    Map<String, String> fields =
        Map.of(
            "service",
            "again",
            "ref",
            String.format("f%015x", System.nanoTime() & 0xfffffffffffL),
            "allow",
            "300",
            "project",
            "shop",
            "lookup",
            String.format("%016x", number));
    return BinaryThrift.submit(number, fields, "f".getBytes(StandardCharsets.US_ASCII));
  }
}
