package switchgap.net;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.utils.DelayedExecutor;

/** Decodes requests and encodes responses as HTTP/1.1, with Grizzly's HTTP filter. */
final class RequestCodecFilter extends HttpServerFilter {
  /**
   * Disables Grizzly's idle timers, because its DelayedExecutor measures idle time by the wall
   * clock, which may be stepped. {@link OverdueConnectionSweeper} closes idle connections instead.
   */
  private static final DelayedExecutor NO_IDLE_TIMERS = null;

  private static final String DEFAULT_CONTENT_TYPE = "text/plain";
  private static final int UNLIMITED_REQUESTS = -1;
  private static final int MAX_REQUEST_HEADERS = 100;
  private static final int MAX_RESPONSE_HEADERS = 100;

  private static final byte[] CONTINUE =
      "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final int maxBodyBytes;

  @SuppressWarnings("deprecation") // Grizzly 4.0.2 has no replacement with limits.
  RequestCodecFilter(HttpServerLimits limits) {
    super(
        false,
        limits.maxHeaderBytes(),
        DEFAULT_CONTENT_TYPE,
        keepAlive(),
        NO_IDLE_TIMERS,
        MAX_REQUEST_HEADERS,
        MAX_RESPONSE_HEADERS);
    maxBodyBytes = limits.maxBodyBytes();
  }

  private static KeepAlive keepAlive() {
    KeepAlive keepAlive = new KeepAlive();
    keepAlive.setMaxRequestsCount(UNLIMITED_REQUESTS);
    return keepAlive;
  }

  /** Tells a client that expects it to send the body, unless the body will be rejected. */
  @Override
  protected boolean onHttpHeaderParsed(
      HttpHeader header, Buffer remainder, FilterChainContext context) {
    boolean isInvalid = super.onHttpHeaderParsed(header, remainder, context);
    HttpRequestPacket request = (HttpRequestPacket) header;
    boolean isTooLarge = request.getContentLength() > maxBodyBytes;
    if (!isInvalid && !isTooLarge && request.requiresAcknowledgement()) {
      RawBytesWriter.write(context.getConnection(), CONTINUE, new EmptyCompletionHandler<>());
    }
    return isInvalid;
  }

  /**
   * Ignores an offer of another protocol. Otherwise Grizzly would expect that protocol in all
   * further bytes, including the request's body, and would leave out most response headers.
   */
  @Override
  protected void onIncomingUpgrade(FilterChainContext context, HttpHeader request) {
    request.getUpgradeDC().recycle();
  }
}
