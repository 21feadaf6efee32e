package switchgap.net;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * A request that an {@link HttpServer} has received completely, with methods to respond to it once.
 * The methods can be called on any thread.
 */
public final class HttpExchange {
  private final Connection<?> connection;
  private final HttpRequestPacket request;
  private final HttpResponseWriter response;
  private final BooleanSupplier keepAlive;
  private final AtomicBoolean responded = new AtomicBoolean();
  private final Runnable responseListener;
  private final String method;
  private final String path;
  private final String query;
  private final byte[] body;
  private volatile Object attachment;

  /**
   * Creates an exchange that has not been responded to.
   *
   * @param keepAlive whether connections may carry a request after a response that is sent now; if
   *     not, the response says so, and the connection closes after it
   * @param responseListener runs before a complete response is sent, but not for a streamed
   *     response, so that a client that disconnects from a stream is still reported
   */
  HttpExchange(
      Connection<?> connection,
      HttpRequestPacket request,
      byte[] body,
      BooleanSupplier keepAlive,
      Runnable responseListener) {
    this.connection = connection;
    this.request = request;
    this.response = new HttpResponseWriter(connection, request.getResponse());
    this.method = request.getMethod().getMethodString();
    this.path = request.getRequestURI();
    this.query = request.getQueryString() == null ? "" : request.getQueryString();
    this.body = body;
    this.keepAlive = keepAlive;
    this.responseListener = responseListener;
  }

  /** The request's method, such as {@code GET}. */
  public String method() {
    return method;
  }

  /** The path without the query. */
  public String path() {
    return path;
  }

  /** The undecoded query after the question mark, or an empty string if there is none. */
  public String query() {
    return query;
  }

  /** The request's body, which must not be modified; empty if there is none. */
  public byte[] body() {
    return body;
  }

  /**
   * Attaches the request handler's state to this exchange, and replaces the previous attachment.
   */
  public void attach(Object object) {
    attachment = object;
  }

  /** The attached object, or null. */
  public Object attachment() {
    return attachment;
  }

  /** The value of a request header, or null. */
  public String header(String name) {
    return request.getHeader(name);
  }

  /** The IP address of the client. */
  public String peerAddress() {
    return String.valueOf(peer().getAddress().getHostAddress());
  }

  /** Identifies the connection in logs by the client's address and port. */
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
   * Sends a complete response.
   *
   * @return false if a response has already been started or the connection has been dropped;
   *     nothing is sent then
   */
  public boolean respond(int status, Map<String, String> headers, byte[] content) {
    if (!responded.compareAndSet(false, true)) {
      return false;
    }
    responseListener.run();
    if (!keepAlive.getAsBoolean()) {
      request.getProcessingState().setKeepAlive(false);
    }
    response.sendComplete(status, headers, content);
    return true;
  }

  /**
   * Starts a chunked response. Its parts are sent by {@link #sendPart}.
   *
   * @return false if a response has already been started or the connection has been dropped;
   *     nothing is sent then
   */
  public boolean beginStreaming(int status, Map<String, String> headers) {
    if (!responded.compareAndSet(false, true)) {
      return false;
    }
    response.beginChunked(status, headers);
    return true;
  }

  /** Sends a part of a streamed response; the first one is sent together with the head. */
  public void sendPart(byte[] content) {
    response.sendChunk(content);
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
   * Sends raw bytes, bypassing the HTTP filters. Intended for emulators that inject faults.
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
}
