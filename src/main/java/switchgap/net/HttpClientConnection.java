package switchgap.net;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;

/**
 * The client's side of one HTTP/1.1 connection. It carries one exchange at a time; a response goes
 * to the handler of the exchange that is pending, and to no other.
 */
public final class HttpClientConnection {
  /**
   * Hears the outcome of one exchange, on a selector thread: {@code responded} or {@code
   * connectionLost} is called exactly once, or neither when the exchange was abandoned.
   */
  public interface ResponseHandler {
    /**
     * The whole response arrived.
     *
     * @param headers by name in lower case
     * @param body the gathered body, without the parts that {@link #bodyPart} took
     * @param reusable whether the connection can carry a further exchange
     */
    void responded(int status, Map<String, String> headers, byte[] body, boolean reusable);

    /** The connection ended first, or what arrived was no HTTP. */
    void connectionLost(String reason);

    /** A part of the body arrived. True when the handler took it; otherwise it is gathered. */
    default boolean bodyPart(byte[] bytes) {
      return false;
    }
  }

  /** Hears how opening a connection ended. */
  public interface ConnectCallback extends Connector.ConnectCallback<HttpClientConnection> {}

  /** Opens any number of connections that share one filter chain. */
  public static final class Factory {
    private final Attribute<HttpClientConnection> connections =
        Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            "switchgap.http-client-connection." + System.identityHashCode(this));
    private final TCPNIOConnectorHandler connector;
    private final InetSocketAddress localAddress;
    private final int maxBodyBytes;

    /**
     * A factory of connections.
     *
     * @param localHost the local address to connect from, or null for any
     * @param maxBodyBytes bytes that the gathered body of a response may hold
     */
    public Factory(NetworkTransport transport, String localHost, int maxBodyBytes) {
      this.maxBodyBytes = maxBodyBytes;
      this.localAddress = localHost == null ? null : new InetSocketAddress(localHost, 0);
      FilterChainBuilder filters = FilterChainBuilder.stateless();
      filters.add(new SocketFilter());
      filters.add(new UnsolicitedBytesFilter(connections));
      filters.add(new InterimResponseFilter(connections));
      filters.add(new HttpClientFilter());
      filters.add(new ResponseFilter(connections));
      this.connector =
          TCPNIOConnectorHandler.builder(transport.transport).processor(filters.build()).build();
    }

    /** Begins to open a connection; the callback hears once, within the timeout, how that ended. */
    public void connect(InetSocketAddress remote, Duration timeout, ConnectCallback callback) {
      Connector.connect(
          connector,
          remote,
          localAddress,
          timeout,
          callback,
          new Connector.ConnectionAdapter<>(this::wrap, HttpClientConnection::close));
    }

    private HttpClientConnection wrap(Connection<?> opened) {
      HttpClientConnection connection = new HttpClientConnection(opened, maxBodyBytes);
      connections.set(opened, connection);
      return connection;
    }
  }

  private final Connection<?> connection;
  private final int maxBodyBytes;

  /** The handler of the exchange on the connection, or null; taking it out decides the outcome. */
  private final AtomicReference<ResponseHandler> pendingHandler = new AtomicReference<>();

  private ByteArrayOutputStream gatheredBody;

  /** Hands over a response that is whole, or null. */
  private volatile Runnable pendingDelivery;

  private volatile boolean receivedUnsolicitedBytes;
  private volatile boolean finalResponseStarted;
  private volatile Runnable closeListener = () -> {};

  /** The {@link System#nanoTime} at which the last exchange ended or the connection opened. */
  public volatile long idleSince = System.nanoTime();

  private HttpClientConnection(Connection<?> connection, int maxBodyBytes) {
    this.connection = connection;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Whether the connection is open and nothing was received on it that nobody asked for. */
  public boolean isUsable() {
    return connection.isOpen() && !receivedUnsolicitedBytes;
  }

  /** Sets what runs when the connection ends; runs it now, too, when the connection has ended. */
  public void onClose(Runnable listener) {
    closeListener = listener;
    if (!connection.isOpen()) {
      listener.run();
    }
  }

  /**
   * Begins an exchange; any thread.
   *
   * @return false when the connection is not usable or busy: then no byte went out and the handler
   *     hears nothing. True when bytes may have gone out: then the handler hears the outcome
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
    if (!connection.isOpen()) { // closed between the two checks: the handler may have heard of it
      return !pendingHandler.compareAndSet(handler, null);
    }
    gatheredBody = null;
    finalResponseStarted = false;
    HttpContent packet =
        new HttpRequest(method, path, headers, body).toPacket(connection.getMemoryManager());
    @SuppressWarnings({"unchecked", "rawtypes"})
    Connection<Object> output = (Connection) connection;
    output.write(
        packet,
        new EmptyCompletionHandler<>() {
          @Override
          public void failed(Throwable cause) {
            ConnectionCloser.close(connection);
            connectionEnded("write failed: " + cause.getMessage());
          }
        });
    return true;
  }

  /**
   * Ends the connection if this handler's exchange is pending on it; the handler hears nothing
   * more.
   */
  public void abandon(ResponseHandler handler) {
    if (pendingHandler.compareAndSet(handler, null)) {
      close();
    }
  }

  /** Closes the connection; a pending exchange hears of it. Any thread. */
  public void close() {
    ConnectionCloser.close(connection);
  }

  boolean hasPendingExchange() {
    return pendingHandler.get() != null;
  }

  /** Whether the first bytes of the pending exchange's final response (not a 1xx) have come. */
  boolean isFinalResponseStarted() {
    return finalResponseStarted;
  }

  void startFinalResponse() {
    finalResponseStarted = true;
  }

  /** Closes the connection for good: it received bytes that belong to no exchange. */
  void rejectUnsolicitedBytes() {
    receivedUnsolicitedBytes = true;
    close();
  }

  /**
   * Takes in a part of a response.
   *
   * @return true when it was the last part: the response then waits for {@link #deliverPending}
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
    byte[] body = gatheredBody == null ? new byte[0] : gatheredBody.toByteArray();
    gatheredBody = null;
    HttpResponse response = HttpResponse.of(head, body);
    part.recycle();
    pendingDelivery = () -> deliver(response, handler);
    return true;
  }

  /** False when the body grew too large and the exchange was ended for that. */
  private boolean receiveBody(Buffer content, ResponseHandler handler) {
    int length = content == null ? 0 : content.remaining();
    if (length == 0) {
      return true;
    }
    byte[] bytes = new byte[length];
    content.get(bytes);
    if (handler.bodyPart(bytes)) {
      return true;
    }
    if (gatheredBody == null) {
      gatheredBody = new ByteArrayOutputStream(length);
    }
    if (gatheredBody.size() + length > maxBodyBytes) {
      close();
      connectionEnded("answer larger than " + maxBodyBytes + " bytes");
      return false;
    }
    gatheredBody.write(bytes, 0, length);
    return true;
  }

  private void deliver(HttpResponse response, ResponseHandler handler) {
    if (!pendingHandler.compareAndSet(handler, null)) {
      return;
    }
    idleSince = System.nanoTime();
    if (!response.keepAlive()) {
      close();
    }
    handler.responded(
        response.status(), response.headers(), response.body(), response.keepAlive() && isUsable());
  }

  /** Hands over the response that is whole, if there is one. */
  void deliverPending() {
    Runnable delivery = pendingDelivery;
    pendingDelivery = null;
    if (delivery != null) {
      delivery.run();
    }
  }

  /** Takes note of the connection's end and tells the pending exchange. */
  void connectionEnded(String reason) {
    deliverPending(); // a response that was whole before the end stays one
    ResponseHandler handler = pendingHandler.getAndSet(null);
    if (handler != null) {
      handler.connectionLost(reason);
    }
    closeListener.run();
  }
}
