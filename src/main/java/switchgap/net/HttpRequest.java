package switchgap.net;

import java.util.Map;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * A request whose body is sent as a single packet.
 *
 * @param path the path, including the query if there is one
 */
record HttpRequest(String method, String path, Map<String, String> headers, byte[] body) {
  private static final String PROTOCOL = "HTTP/1.1";
  private static final String HOST = "switchgap";

  /** Returns the request as a single packet. */
  HttpContent toPacket(MemoryManager<?> memoryManager) {
    return HttpContent.builder(head())
        .content(Buffers.wrap(memoryManager, body))
        .last(true)
        .build();
  }

  private HttpRequestPacket head() {
    int queryStart = path.indexOf('?');
    HttpRequestPacket.Builder head = HttpRequestPacket.builder();
    head.method(method);
    head.uri(queryStart < 0 ? path : path.substring(0, queryStart));
    head.protocol(PROTOCOL);
    head.header("Host", HOST);
    if (queryStart >= 0) {
      head.query(path.substring(queryStart + 1));
    }
    headers.forEach(head::header);
    head.contentLength(body.length);
    return head.build();
  }
}
