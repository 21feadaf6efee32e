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
 * The first filter of each chain: moves bytes between the socket and the chain, and outlives system
 * calls that a signal interrupts.
 *
 * <p>The JDK's channels return -3 ({@code sun.nio.ch.IOStatus.INTERRUPTED}) for such a call where
 * they do not block. Grizzly 4.0.2 takes it for the end of the stream ({@code TCPNIOTransport.read}
 * and {@code TCPNIOUtils.allocateAndReadBuffer}: {@code read < 0}) or moves a buffer's position
 * back by it ({@code TCPNIOUtils.writeSimpleBuffer}, {@code writeCompositeBuffer}), so neither is
 * used: reads are made here, and what is written goes out as a {@link SocketMessage}, whose own
 * method the writer calls.
 */
final class SocketFilter extends TransportFilter {
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
   * Reads once, and repeats a call that was interrupted.
   *
   * @return bytes read; 0 if none are there or each call was interrupted; below 0 at the end of the
   *     stream
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
