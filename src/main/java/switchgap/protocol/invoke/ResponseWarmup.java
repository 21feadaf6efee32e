package switchgap.protocol.invoke;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import switchgap.admission.ServiceLevel;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.router.Response;

/**
 * Responds to synthetic requests with the responses of the invoke API, so that the JVM has loaded
 * and compiled the code that encodes them before the first response is due.
 */
public final class ResponseWarmup implements HttpServer.RequestHandler {
  private static final String REQUEST_ID = "warm-up";
  private static final Duration RETRY_AFTER = Duration.ofMillis(1);
  private static final Map<String, String> HEADERS =
      Map.of(HeaderNames.CONTENT_TYPE, ResponseWriter.JSON);

  private final int requestCount;
  private final AtomicInteger received = new AtomicInteger();

  /** Creates a handler whose last of {@code requestCount} responses is a rejection. */
  public ResponseWarmup(int requestCount) {
    this.requestCount = requestCount;
  }

  @Override
  public void handle(HttpExchange exchange) {
    encodeProblems();
    boolean isLast = received.incrementAndGet() == requestCount;
    // A rejection ends the connection, so there is only one.
    Response response =
        isLast
            ? Response.rejected(RETRY_AFTER)
            : Response.succeeded(ResponseWriter.STATUS_OK, HEADERS, exchange.body());
    ResponseWriter.writeFinal(exchange, response, REQUEST_ID, REQUEST_ID, null);
  }

  private static void encodeProblems() {
    ProblemDetails.rejected(ServiceLevel.values()[0], RETRY_AFTER).toJson();
    ProblemDetails.failed().toJson();
  }
}
