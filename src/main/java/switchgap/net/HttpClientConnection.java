package switchgap.net;

import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * The client side of an HTTP/1.1 connection. It carries one exchange at a time. A response is
 * delivered to the handler of the pending exchange and to no other.
 */
public final class HttpClientConnection {
  /**
   * Receives the outcome of one exchange. Exactly one of {@code responded} and {@code
   * connectionLost} is called, exactly once, or neither if the exchange was abandoned. The methods
   * are called on a selector thread; a failed write may also be reported on the thread that writes.
   */
  public interface ResponseHandler {
    /**
     * The response is complete.
     *
     * @param headers the values by header name, in lower case
     * @param body the collected body, without the parts that {@link #bodyPart} consumed
     * @param reusable whether the connection can carry another exchange
     */
    void responded(int status, Map<String, String> headers, byte[] body, boolean reusable);

    /**
     * The connection was closed before the response was complete, or because the response was
     * invalid.
     */
    void connectionLost(CloseCause cause);

    /**
     * A part of the body arrived.
     *
     * @return whether the handler consumed the part; otherwise it is added to the collected body
     */
    default boolean bodyPart(byte[] bytes) {
      return false;
    }
  }

  /** Receives the outcome of opening a connection. */
  public interface ConnectCallback extends Connector.ConnectCallback<HttpClientConnection> {}

  private final Connection<?> connection;
  private final int maxBodyBytes;

  /**
   * The handler of the pending exchange, or null. The thread that removes it decides the outcome of
   * the exchange, so that only one of a response, an abandonment and the end of the connection
   * takes effect.
   */
  private final AtomicReference<ResponseHandler> pendingHandler = new AtomicReference<>();

  private final ResponseBodyBuffer responseBody;

  /** Delivers a complete response that has not been delivered, or null if there is none. */
  private volatile Runnable pendingDelivery;

  private volatile boolean receivedUnsolicitedBytes;
  private volatile boolean finalResponseStarted;
  private volatile Runnable closeListener = () -> {};
  private volatile long idleSinceNanos = System.nanoTime();

  HttpClientConnection(Connection<?> connection, int maxBodyBytes) {
    this.connection = connection;
    this.maxBodyBytes = maxBodyBytes;
    this.responseBody = new ResponseBodyBuffer(maxBodyBytes);
  }

  /** Whether the connection is open and has received no unsolicited bytes. */
  public boolean isUsable() {
    return connection.isOpen() && !receivedUnsolicitedBytes;
  }

  /**
   * The {@link System#nanoTime} at which the last exchange ended, or the connection opened if it
   * has carried none.
   */
  public long idleSinceNanos() {
    return idleSinceNanos;
  }

  /**
   * Sets the listener that runs when the connection ends. It runs immediately if the connection has
   * already ended, and may run more than once.
   */
  public void onClose(Runnable listener) {
    closeListener = listener;
    if (!connection.isOpen()) {
      listener.run();
    }
  }

  /**
   * Starts an exchange. Can be called on any thread.
   *
   * @return false if the connection is not usable or has a pending exchange, in which case no byte
   *     was sent and the handler is not called; true if bytes may have been sent, in which case the
   *     handler receives the outcome
   */
  public boolean send(
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      ResponseHandler handler) {
    if (!isUsable() || !pendingHandler.compareAndSet(null, handler)) {
      return false;
    }
    // If the connection was closed after the first check, the handler may have been called.
    if (!connection.isOpen()) {
      return !pendingHandler.compareAndSet(handler, null);
    }
    responseBody.clear();
    finalResponseStarted = false;
    HttpContent packet =
        new HttpRequest(method, path, headers, body).toPacket(connection.getMemoryManager());
    @SuppressWarnings({"unchecked", "rawtypes"}) // The HTTP filter chain accepts HttpContent.
    Connection<Object> output = (Connection) connection;
    output.write(
        packet,
        new EmptyCompletionHandler<>() {
          @Override
          public void failed(Throwable cause) {
            ConnectionCloser.close(connection);
            connectionEnded(
                new CloseCause(HttpCloseReason.WRITE_FAILED, String.valueOf(cause.getMessage())));
          }
        });
    return true;
  }

  /**
   * Closes the connection if the exchange of this handler is pending on it. The handler is not
   * called any more.
   */
  public void abandon(ResponseHandler handler) {
    if (pendingHandler.compareAndSet(handler, null)) {
      close();
    }
  }

  /**
   * Closes the connection. The handler of a pending exchange is notified. Can be called on any
   * thread.
   */
  public void close() {
    ConnectionCloser.close(connection);
  }

  boolean hasPendingExchange() {
    return pendingHandler.get() != null;
  }

  /**
   * Whether the first bytes of the pending exchange's final response have arrived. Interim
   * responses (1xx) are not final.
   */
  boolean isFinalResponseStarted() {
    return finalResponseStarted;
  }

  void startFinalResponse() {
    finalResponseStarted = true;
  }

  /** Closes the connection after it received bytes that do not belong to any exchange. */
  void rejectUnsolicitedBytes() {
    receivedUnsolicitedBytes = true;
    close();
  }

  /**
   * Receives a part of a response.
   *
   * @return whether it was the last part, in which case {@link #deliverPending} must be called to
   *     deliver the response
   */
  boolean receive(HttpContent part) {
    ResponseHandler handler = pendingHandler.get();
    if (handler == null || pendingDelivery != null) {
      rejectUnsolicitedBytes();
      return false;
    }
    if (!receiveBody(part.getContent(), handler) || !part.isLast()) {
      return false;
    }
    HttpResponsePacket head = (HttpResponsePacket) part.getHttpHeader();
    HttpResponse response = HttpResponse.of(head, responseBody.take());
    part.recycle();
    pendingDelivery = () -> deliver(response, handler);
    return true;
  }

  /** Returns false if the body exceeds the limit, in which case the exchange has been ended. */
  private boolean receiveBody(Buffer content, ResponseHandler handler) {
    int length = content == null ? 0 : content.remaining();
    if (length == 0) {
      return true;
    }
    byte[] bytes = new byte[length];
    content.get(bytes);
    if (handler.bodyPart(bytes) || responseBody.append(bytes)) {
      return true;
    }
    close();
    connectionEnded(new CloseCause(HttpCloseReason.RESPONSE_TOO_LARGE, maxBodyBytes + " bytes"));
    return false;
  }

  private void deliver(HttpResponse response, ResponseHandler handler) {
    if (!pendingHandler.compareAndSet(handler, null)) {
      return;
    }
    idleSinceNanos = System.nanoTime();
    if (!response.keepAlive()) {
      close();
    }
    handler.responded(
        response.status(), response.headers(), response.body(), response.keepAlive() && isUsable());
  }

  /** Delivers the complete response, if there is one. */
  void deliverPending() {
    Runnable delivery = pendingDelivery;
    pendingDelivery = null;
    if (delivery != null) {
      delivery.run();
    }
  }

  /** Notifies the pending exchange and the close listener that the connection has ended. */
  void connectionEnded(CloseCause cause) {
    deliverPending(); // The response may have been complete before the connection ended.
    ResponseHandler handler = pendingHandler.getAndSet(null);
    if (handler != null) {
      handler.connectionLost(cause);
    }
    closeListener.run();
  }
}
