package switchgap.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.FileChunk;

/**
 * Bytes to be written to a socket, tolerating interrupted system calls; see {@link SocketFilter}.
 *
 * <p>For the queue of Grizzly's writer this is an external message: it takes one unit of the
 * queue's space regardless of its length, and is not merged with other messages. The writer calls
 * {@link #writeTo} from one thread at a time.
 */
final class SocketMessage implements FileChunk {
  /**
   * Maximum number of bytes per system call. It is limited because the JDK first copies the bytes
   * to a direct buffer.
   */
  private static final int MAX_WRITE_BYTES = 64 << 10;

  /** Units of the queue's space that are released while bytes remain. */
  private static final long NO_UNITS_RELEASED = 0;

  /** Units of the queue's space that are released when all bytes have been written. */
  private static final long ONE_UNIT_RELEASED = 1;

  private final Connection<?> connection;
  private final ByteBuffer bytes;

  /** The buffer that the bytes come from, which must be disposed of, or null. */
  private final Buffer source;

  /** Creates a message of {@code bytes}, which must not be modified afterwards. */
  SocketMessage(Connection<?> connection, byte[] bytes) {
    this.connection = connection;
    this.bytes = ByteBuffer.wrap(bytes);
    this.source = null;
  }

  /** Creates a message of a buffer's bytes. The buffer is disposed of when it has been written. */
  SocketMessage(Connection<?> connection, Buffer source) {
    this.connection = connection;
    this.bytes = source.toByteBuffer().slice();
    this.source = source;
  }

  /**
   * Writes as many bytes as the socket accepts. If a write fails, the connection is closed
   * immediately, because the remaining bytes in its queue can't be sent any more.
   *
   * @return the units of the queue's space that are released: one when all bytes have been written,
   *     otherwise zero
   */
  @Override
  public long writeTo(WritableByteChannel channel) throws IOException {
    int interruptedWrites = 0;
    while (bytes.hasRemaining()) {
      int count = writeSlice(channel);
      if (count == 0) {
        return NO_UNITS_RELEASED; // Grizzly's writer waits until the socket is writable.
      }
      if (count == InterruptedCalls.INTERRUPTED) {
        interruptedWrites++;
        if (interruptedWrites == InterruptedCalls.MAX_IMMEDIATE_ATTEMPTS) {
          InterruptedCalls.backOff();
          return NO_UNITS_RELEASED;
        }
      }
    }
    return ONE_UNIT_RELEASED;
  }

  private int writeSlice(WritableByteChannel channel) throws IOException {
    int end = bytes.limit();
    bytes.limit(Math.min(end, bytes.position() + MAX_WRITE_BYTES));
    try {
      return channel.write(bytes);
    } catch (IOException e) {
      connection.terminateSilently();
      throw e;
    } finally {
      bytes.limit(end);
    }
  }

  @Override
  public boolean hasRemaining() {
    return bytes.hasRemaining();
  }

  @Override
  public int remaining() {
    return bytes.remaining();
  }

  @Override
  public boolean release() {
    return source != null && source.tryDispose();
  }

  @Override
  public boolean isExternal() {
    return true;
  }
}
