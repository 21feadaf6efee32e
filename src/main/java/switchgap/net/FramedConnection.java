package switchgap.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A TCP connection that carries frames: a length of four bytes, then as many bytes. The length of
 * received frames and the number of unsent ones are bounded.
 */
public final class FramedConnection {
  /**
   * Receives the events of connections. {@code opened} and {@code frame} run on the connection's
   * selector thread, {@code closed} on the thread that closes the connection first, as its last
   * event.
   */
  public interface Listener {
    /** The connection is open. */
    void opened(FramedConnection connection);

    /** A complete frame arrived. */
    void frame(FramedConnection connection, byte[] bytes);

    /** The connection ended, by this side or the other. */
    void closed(FramedConnection connection, CloseCause cause);
  }

  private static final int MAX_UNSENT_FRAMES = 64;
  private static final int LISTEN_BACKLOG = 16;

  private final TcpConnection connection;
  private final FrameDecoder decoder;

  private FramedConnection(TcpConnection connection, int maxFrameBytes) {
    this.connection = connection;
    this.decoder = new FrameDecoder(maxFrameBytes);
  }

  /**
   * Sends a frame; any thread.
   *
   * @return false when nothing was sent, because the connection is closed or too many frames are
   *     unsent: a later frame must make up for this one
   */
  public boolean send(byte[] frame) {
    if (connection.unsentWrites() >= MAX_UNSENT_FRAMES) {
      return false;
    }
    byte[] bytes = new byte[Integer.BYTES + frame.length];
    ByteBuffer.wrap(bytes).putInt(frame.length).put(frame);
    return connection.send(bytes);
  }

  /** Closes the connection; its listener gets this reason. Any thread. */
  public void close(CloseReason reason) {
    connection.close(reason);
  }

  /** Closes the connection; its listener gets this cause. Any thread. */
  public void close(CloseCause cause) {
    connection.close(cause);
  }

  /**
   * Begins to accept connections.
   *
   * @param port the port to listen on; 0 takes any free one
   * @throws IOException when the address can't be listened on
   */
  public static TcpServer listen(
      NetworkTransport transport, String host, int port, int maxFrameBytes, Listener listener)
      throws IOException {
    return TcpServer.listen(
        transport, host, port, LISTEN_BACKLOG, new FrameListener(listener, maxFrameBytes));
  }

  /** Decodes the bytes of TCP connections for a listener of frames. */
  record FrameListener(Listener listener, int maxFrameBytes) implements TcpConnection.Listener {
    @Override
    public void opened(TcpConnection connection) {
      FramedConnection framed = new FramedConnection(connection, maxFrameBytes);
      connection.attach(framed);
      listener.opened(framed);
    }

    @Override
    public void received(TcpConnection connection, ByteBuffer bytes) {
      FramedConnection framed = (FramedConnection) connection.attachment();
      boolean valid =
          framed.decoder.decode(
              bytes,
              frame -> {
                if (connection.isOpen()) {
                  listener.frame(framed, frame);
                }
              });
      if (!valid) {
        framed.close(
            new CloseCause(
                CloseReason.Transport.FRAME_TOO_LONG,
                framed.decoder.frameLength() + " bytes, at most " + maxFrameBytes));
      }
    }

    @Override
    public void closed(TcpConnection connection, CloseCause cause) {
      listener.closed((FramedConnection) connection.attachment(), cause);
    }
  }
}
