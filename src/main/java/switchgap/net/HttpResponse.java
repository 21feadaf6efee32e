package switchgap.net;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * A complete response.
 *
 * @param headers the values by header name, in lower case
 * @param keepAlive whether the server keeps the connection open
 */
record HttpResponse(int status, Map<String, String> headers, byte[] body, boolean keepAlive) {
  /**
   * Creates a response with a copy of the values in {@code head}, which Grizzly reuses afterwards.
   */
  static HttpResponse of(HttpResponsePacket head, byte[] body) {
    Map<String, String> headers = new HashMap<>();
    MimeHeaders fields = head.getHeaders();
    for (int i = 0; i < fields.size(); i++) {
      headers.put(
          fields.getName(i).toString().toLowerCase(Locale.ROOT), fields.getValue(i).toString());
    }
    if (head.getContentType() != null) { // Grizzly stores this header separately.
      headers.put("content-type", head.getContentType());
    }
    return new HttpResponse(
        head.getStatus(), headers, body, head.getProcessingState().isKeepAlive());
  }
}
