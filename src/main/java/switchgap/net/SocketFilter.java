package switchgap.net;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * The first filter of each filter chain. Transfers bytes between the socket and the chain, and
 * tolerates system calls that are interrupted by a signal.
 *
 * <p>Non-blocking channels of the JDK return -3 ({@code sun.nio.ch.IOStatus.INTERRUPTED}) for such
 * a call. Grizzly 4.0.2 interprets this as the end of the stream ({@code TCPNIOTransport.read} and
 * {@code TCPNIOUtils.allocateAndReadBuffer}: {@code read < 0}) or moves a buffer's position back by
 * this value ({@code TCPNIOUtils.writeSimpleBuffer}, {@code writeCompositeBuffer}). Neither is used
 * here: this filter reads from the channel itself, and it wraps written bytes in a {@link
 * SocketMessage}, which writes them to the channel itself.
 */
final class SocketFilter extends TransportFilter {
  private static final ThreadLocal<ByteBuffer> READ_BUFFER =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(NetworkTransport.READ_BUFFER_BYTES));

  private final int maxReadBytes;

  /** Creates a filter whose reads are limited only by the size of the read buffer. */
  SocketFilter() {
    this(NetworkTransport.READ_BUFFER_BYTES);
  }

  /** Creates a filter that reads at most {@code maxReadBytes} at a time. */
  SocketFilter(int maxReadBytes) {
    this.maxReadBytes = Math.min(maxReadBytes, NetworkTransport.READ_BUFFER_BYTES);
  }

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    Connection<?> connection = context.getConnection();
    ByteBuffer target = READ_BUFFER.get().clear().limit(maxReadBytes);
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
    } catch (IOException e) {
      // Reset, timed out or unreachable: closed as at the end of the stream.
      connection.terminateSilently();
      throw e;
    }
  }

  /**
   * Reads once. A call that was interrupted is repeated a few times.
   *
   * @return the number of bytes read; 0 if none are available or each call was interrupted;
   *     negative at the end of the stream
   */
  private static int read(ReadableByteChannel channel, ByteBuffer target) throws IOException {
    for (int attempt = 0; attempt < InterruptedCalls.MAX_IMMEDIATE_ATTEMPTS; attempt++) {
      int count = channel.read(target);
      if (count != InterruptedCalls.INTERRUPTED) {
        return count;
      }
    }
    InterruptedCalls.backOff();
    return 0;
  }

  @Override
  public NextAction handleWrite(FilterChainContext context) throws IOException {
    Object message = context.getMessage();
    if (message instanceof Buffer bytes && bytes.hasRemaining()) {
      context.setMessage(new SocketMessage(context.getConnection(), bytes));
    }
    return super.handleWrite(context);
  }
}
