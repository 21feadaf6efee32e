package switchgap.net;

import java.util.Locale;
import java.util.Map;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;

/** Writes the head and body of one response as Grizzly's HTTP packets. */
final class HttpResponseWriter {
  private static final String CONTENT_TYPE = "content-type";

  private final Connection<?> connection;
  private final HttpResponsePacket response;

  HttpResponseWriter(Connection<?> connection, HttpResponsePacket response) {
    this.connection = connection;
    this.response = response;
  }

  /** Sends a response whose body is complete. */
  void sendComplete(int status, Map<String, String> headers, byte[] content) {
    setHead(status, headers);
    response.setContentLength(content.length);
    write(content, true);
  }

  /** Sets the head of a chunked response, which is sent together with the first chunk. */
  void beginChunked(int status, Map<String, String> headers) {
    setHead(status, headers);
    response.setChunked(true);
  }

  /** Sends a chunk of a response that was started by {@link #beginChunked}. */
  void sendChunk(byte[] content) {
    write(content, false);
  }

  private void setHead(int status, Map<String, String> headers) {
    response.setStatus(status);
    headers.forEach(
        (name, value) -> {
          if (name.toLowerCase(Locale.ROOT).equals(CONTENT_TYPE)) {
            response.setContentType(value); // Grizzly stores this header separately.
          } else {
            response.setHeader(name, value);
          }
        });
  }

  private void write(byte[] content, boolean last) {
    Buffer bytes = Buffers.wrap(connection.getMemoryManager(), content);
    HttpContent packet = HttpContent.builder(response).content(bytes).last(last).build();
    @SuppressWarnings({"unchecked", "rawtypes"}) // The HTTP filter chain accepts HttpContent.
    Connection<Object> output = (Connection) connection;
    if (last && !response.getProcessingState().isKeepAlive()) {
      output.write(packet, new CloseWhenWritten(connection));
    } else {
      output.write(packet);
    }
  }

  /** Closes the connection once its last response has been written. */
  private static final class CloseWhenWritten
      extends EmptyCompletionHandler<WriteResult<HttpContent, Object>> {
    private final Connection<?> connection;

    CloseWhenWritten(Connection<?> connection) {
      this.connection = connection;
    }

    @Override
    public void completed(WriteResult<HttpContent, Object> result) {
      ConnectionCloser.close(connection);
    }
  }
}
