package switchgap.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A TCP connection that carries frames, in the format of {@link FrameDecoder}. The length of
 * received frames and the number of unsent frames are bounded.
 */
public final class FramedConnection {
  /**
   * Receives the events of connections. {@link #opened} and {@link #frameReceived} run on the
   * connection's selector thread, {@link #closed} on the thread that closes the connection first,
   * as its last event.
   */
  public interface Listener {
    /** The connection is open. */
    void opened(FramedConnection connection);

    /** A complete frame arrived. */
    void frameReceived(FramedConnection connection, byte[] bytes);

    /** The connection was closed by this side or by the peer. */
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
   * Sends a frame. Can be called on any thread.
   *
   * @return false if nothing was sent, because the connection is closed or too many frames are
   *     unsent; the frame is not queued, so its content must be sent again in a later frame
   */
  public boolean send(byte[] frame) {
    if (connection.unsentWrites() >= MAX_UNSENT_FRAMES) {
      return false;
    }
    byte[] bytes = new byte[Integer.BYTES + frame.length];
    ByteBuffer.wrap(bytes).putInt(frame.length).put(frame);
    return connection.send(bytes);
  }

  /** Closes the connection, and passes the reason to its listener. Can be called on any thread. */
  public void close(CloseReason reason) {
    connection.close(reason);
  }

  /** Closes the connection, and passes the cause to its listener. Can be called on any thread. */
  public void close(CloseCause cause) {
    connection.close(cause);
  }

  /**
   * Starts to accept connections.
   *
   * @param port the port to listen on, or 0 for any free port
   * @throws IOException if the socket can't be bound to the address
   */
  public static TcpServer listen(
      NetworkTransport transport, String host, int port, int maxFrameBytes, Listener listener)
      throws IOException {
    return TcpServer.listen(
        transport, host, port, LISTEN_BACKLOG, new FrameListener(listener, maxFrameBytes));
  }

  /** Decodes the bytes of TCP connections and passes the frames to a listener. */
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
                  listener.frameReceived(framed, frame);
                }
              });
      if (!valid) {
        framed.close(
            new CloseCause(
                CloseReason.Transport.FRAME_TOO_LONG,
                framed.decoder.frameLength() + " bytes, must be 1 to " + maxFrameBytes));
      }
    }

    @Override
    public void closed(TcpConnection connection, CloseCause cause) {
      listener.closed((FramedConnection) connection.attachment(), cause);
    }
  }
}
