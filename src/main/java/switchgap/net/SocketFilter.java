package switchgap.net;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.util.concurrent.locks.LockSupport;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.FileChunk;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.threadpool.Threads;

/**
 * The first filter of each chain: moves bytes between the socket and the chain, and outlives system
 * calls that a signal interrupts.
 *
 * <p>The JDK's channels return -3 ({@code sun.nio.ch.IOStatus.INTERRUPTED}) for such a call where
 * they do not block. Grizzly 4.0.2 takes it for the end of the stream ({@code TCPNIOTransport.read}
 * and {@code TCPNIOUtils.allocateAndReadBuffer}: {@code read < 0}) or moves a buffer's position
 * back by it ({@code TCPNIOUtils.writeSimpleBuffer}, {@code writeCompositeBuffer}), so neither is
 * used: reads are made here, and what is written goes out as a {@link Message}, whose own method
 * the writer calls.
 */
final class SocketFilter extends TransportFilter {
  /** What the JDK returns for an interrupted system call. */
  private static final int INTERRUPTED = -3;

  /**
   * Interrupted calls after which the thread pauses, as the next one is most likely interrupted
   * too.
   */
  private static final int MAX_IMMEDIATE_TRIES = 4;

  private static final long INTERRUPT_PAUSE_NANOS = 2_000_000;

  /** Bytes given to the system at a time; the JDK copies them first. */
  private static final int MAX_WRITE_BYTES = 64 << 10;

  private static final ThreadLocal<ByteBuffer> READ_BUFFER =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(NetworkTransport.READ_BUFFER_BYTES));

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    Connection<?> connection = context.getConnection();
    ByteBuffer target = READ_BUFFER.get().clear();
    int count = readFrom(connection, target);
    if (count < 0) {
      connection.terminateSilently();
      throw new EOFException();
    }
    if (count == 0) {
      return context.getStopAction();
    }
    Buffer bytes = connection.getMemoryManager().allocate(count);
    bytes.put(target.flip());
    bytes.flip();
    bytes.allowBufferDispose(true);
    context.setMessage(bytes);
    return context.getInvokeAction();
  }

  private static int readFrom(Connection<?> connection, ByteBuffer target) throws IOException {
    try {
      return read((ReadableByteChannel) ((NIOConnection) connection).getChannel(), target);
    } catch (IOException e) { // reset, timed out or unreachable: ended, as at the end of the stream
      connection.terminateSilently();
      throw e;
    }
  }

  /**
   * Reads once; an interrupted call is made again, and counts as nothing read if that is of no use.
   */
  static int read(ReadableByteChannel channel, ByteBuffer target) throws IOException {
    for (int tries = 0; tries < MAX_IMMEDIATE_TRIES; tries++) {
      int count = channel.read(target);
      if (count != INTERRUPTED) {
        return count;
      }
    }
    pause();
    return 0;
  }

  @Override
  public NextAction handleWrite(FilterChainContext context) throws IOException {
    Object message = context.getMessage();
    if (message instanceof Buffer bytes && bytes.hasRemaining()) {
      context.setMessage(new Message(context.getConnection(), bytes));
    }
    return super.handleWrite(context);
  }

  /** Selector threads alone: one that finds its sockets ready again at once would spin. */
  private static void pause() {
    if (Threads.isService()) {
      LockSupport.parkNanos(INTERRUPT_PAUSE_NANOS);
    }
  }

  /**
   * Bytes on their way to a socket. To the writer's queue it is an external message: these take one
   * unit of the queue's space whatever their length, and none is joined with others.
   */
  static final class Message implements FileChunk {
    private final Connection<?> connection;
    private final ByteBuffer bytes;
    private final Buffer source;

    /** A message of these bytes, which must not be changed from then on. */
    Message(Connection<?> connection, byte[] bytes) {
      this.connection = connection;
      this.bytes = ByteBuffer.wrap(bytes);
      this.source = null;
    }

    private Message(Connection<?> connection, Buffer source) {
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
          return 0; // the writer waits until the socket takes more
        }
        if (count == INTERRUPTED && ++interrupts == MAX_IMMEDIATE_TRIES) {
          pause();
          return 0;
        }
      }
      return 1;
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
}
