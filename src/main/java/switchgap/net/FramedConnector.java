package switchgap.net;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Opens framed connections that share one listener and one filter chain. */
public final class FramedConnector {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(10);

  private final TcpConnector connector;

  /** Creates a connector whose connections accept frames of at most {@code maxFrameBytes}. */
  public FramedConnector(
      NetworkTransport transport, int maxFrameBytes, FramedConnection.Listener listener) {
    connector =
        new TcpConnector(transport, new FramedConnection.FrameListener(listener, maxFrameBytes));
  }

  /** Starts to open a connection. {@code onFailure} runs if it can't be opened. */
  public void connect(InetSocketAddress remote, Runnable onFailure) {
    connector.connect(
        remote,
        CONNECT_TIMEOUT,
        new Connector.ConnectCallback<>() {
          @Override
          public void connected(TcpConnection connection) {}

          @Override
          public void failed(ConnectFailure failure) {
            onFailure.run();
          }
        });
  }
}
