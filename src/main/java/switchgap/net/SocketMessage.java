package switchgap.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.FileChunk;

/**
 * Bytes on their way to a socket, which outlive interrupted writes; see {@link SocketFilter}.
 *
 * <p>To the queue of Grizzly's writer it is an external message: each of these takes one unit of
 * the queue's space whatever its length, and none is joined with others. The writer calls {@link
 * #writeTo} from one thread at a time.
 */
final class SocketMessage implements FileChunk {
  /** Bytes given to the system at a time; the JDK copies them first. */
  private static final int MAX_WRITE_BYTES = 64 << 10;

  /** Units of the queue's space that are given back while bytes remain. */
  private static final long NO_UNIT = 0;

  /** Units of the queue's space that are given back when all bytes have been written. */
  private static final long ONE_UNIT = 1;

  private final Connection<?> connection;
  private final ByteBuffer bytes;

  /** Where the bytes come from, to be disposed of; or null. */
  private final Buffer source;

  /** A message of these bytes, which must not be changed from then on. */
  SocketMessage(Connection<?> connection, byte[] bytes) {
    this.connection = connection;
    this.bytes = ByteBuffer.wrap(bytes);
    this.source = null;
  }

  /** A message of a buffer's bytes; the buffer is disposed of when it has been written. */
  SocketMessage(Connection<?> connection, Buffer source) {
    this.connection = connection;
    this.bytes = source.toByteBuffer().slice();
    this.source = source;
  }

  /**
   * Writes what the socket takes. A connection that can't be written to is closed at once, as
   * nothing that is queued on it can go out any more.
   *
   * @return the queue's space that is given back: one unit once all is written, else none
   */
  @Override
  public long writeTo(WritableByteChannel channel) throws IOException {
    int interrupts = 0;
    while (bytes.hasRemaining()) {
      int count = writeSlice(channel);
      if (count == 0) {
        return NO_UNIT; // the writer waits until the socket takes more
      }
      if (count == InterruptedCalls.INTERRUPTED) {
        interrupts++;
        if (interrupts == InterruptedCalls.MAX_IMMEDIATE_ATTEMPTS) {
          InterruptedCalls.backOff();
          return NO_UNIT;
        }
      }
    }
    return ONE_UNIT;
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
