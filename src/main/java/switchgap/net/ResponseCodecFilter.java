package switchgap.net;

import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpHeader;

/** Encodes requests and decodes responses as HTTP/1.1, with Grizzly's HTTP filter. */
final class ResponseCodecFilter extends HttpClientFilter {
  /**
   * Ignores that a server advertises another protocol. Otherwise Grizzly would ignore the length of
   * the response's body, and the response would never be complete.
   */
  @Override
  protected void onIncomingUpgrade(FilterChainContext context, HttpHeader response) {
    response.getUpgradeDC().recycle();
  }
}
