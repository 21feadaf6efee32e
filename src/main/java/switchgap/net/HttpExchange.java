package switchgap.net;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;

/**
 * A request that an {@link HttpServer} received whole, and the means to respond to it once, from
 * any thread.
 */
public final class HttpExchange {
  private final Connection<?> connection;
  private final HttpRequestPacket request;
  private final HttpResponsePacket response;
  private final AtomicBoolean responded = new AtomicBoolean();
  private final Runnable responseListener;

  /** The request's method, such as {@code GET}. */
  public final String method;

  /** The path without the query. */
  public final String path;

  /** What follows the path's question mark, undecoded; empty when there is none. */
  public final String query;

  /** The request's body; empty when there is none. */
  public final byte[] body;

  /** Whatever the request handler keeps to find it again when the client leaves. */
  public volatile Object attachment;

  /**
   * An exchange without a response.
   *
   * @param responseListener runs before a whole response is sent, but not when one is streamed: a
   *     client that leaves a stream is still reported
   */
  HttpExchange(
      Connection<?> connection, HttpRequestPacket request, byte[] body, Runnable responseListener) {
    this.connection = connection;
    this.request = request;
    this.response = request.getResponse();
    this.method = request.getMethod().getMethodString();
    this.path = request.getRequestURI();
    this.query = request.getQueryString() == null ? "" : request.getQueryString();
    this.body = body;
    this.responseListener = responseListener;
  }

  /** The value of a request header, or null. */
  public String header(String name) {
    return request.getHeader(name);
  }

  /** The IP address that the client's connection comes from. */
  public String peerAddress() {
    return String.valueOf(peer().getAddress().getHostAddress());
  }

  /** Tells connections apart in a log: the client's address and port. */
  public String connectionId() {
    InetSocketAddress peer = peer();
    return peer.getAddress().getHostAddress() + ":" + peer.getPort();
  }

  private InetSocketAddress peer() {
    return (InetSocketAddress) connection.getPeerAddress();
  }

  /** The undecoded value of the first query parameter {@code name=value}, or null. */
  public String queryParameter(String name) {
    for (String parameter : query.split("&")) {
      if (parameter.startsWith(name + "=")) {
        return parameter.substring(name.length() + 1);
      }
    }
    return null;
  }

  /**
   * Sends a whole response; false, and nothing is sent, when one was begun or the connection was
   * dropped.
   */
  public boolean respond(int status, Map<String, String> headers, byte[] content) {
    if (!responded.compareAndSet(false, true)) {
      return false;
    }
    responseListener.run();
    setHead(status, headers);
    response.setContentLength(content.length);
    write(content, true);
    return true;
  }

  /**
   * Begins a chunked response, whose parts follow by {@link #sendPart}; false when a response was
   * begun before or the connection was dropped.
   */
  public boolean beginStreaming(int status, Map<String, String> headers) {
    if (!responded.compareAndSet(false, true)) {
      return false;
    }
    setHead(status, headers);
    response.setChunked(true);
    return true;
  }

  /** Sends a part of a streamed response; the first one goes out together with the head. */
  public void sendPart(byte[] content) {
    write(content, false);
  }

  /** Whether the client's connection is open. */
  public boolean isOpen() {
    return connection.isOpen();
  }

  /** Closes the connection without a response. */
  public void drop() {
    responded.set(true);
    ConnectionCloser.close(connection);
  }

  /**
   * Sends bytes as they are, past the HTTP filters: for emulators that misbehave on purpose.
   *
   * @param close whether the connection is closed once the bytes are written
   */
  public void sendRaw(byte[] bytes, boolean close) {
    if (responded.compareAndSet(false, true)) {
      responseListener.run();
    }
    RawBytesWriter.write(
        connection,
        bytes,
        new EmptyCompletionHandler<>() {
          @Override
          public void completed(WriteResult<WritableMessage, SocketAddress> result) {
            if (close) {
              ConnectionCloser.close(connection);
            }
          }
        });
  }

  private void setHead(int status, Map<String, String> headers) {
    response.setStatus(status);
    headers.forEach(
        (name, value) -> {
          if (name.toLowerCase(Locale.ROOT).equals("content-type")) {
            response.setContentType(value);
          } else {
            response.setHeader(name, value);
          }
        });
  }

  private void write(byte[] content, boolean last) {
    Buffer bytes = Buffers.wrap(connection.getMemoryManager(), content);
    HttpContent packet = HttpContent.builder(response).content(bytes).last(last).build();
    @SuppressWarnings({"unchecked", "rawtypes"})
    Connection<Object> output = (Connection) connection;
    if (last && !response.getProcessingState().isKeepAlive()) {
      output.write(
          packet,
          new EmptyCompletionHandler<>() {
            @Override
            public void completed(WriteResult result) {
              ConnectionCloser.close(connection);
            }
          });
    } else {
      output.write(packet);
    }
  }
}
