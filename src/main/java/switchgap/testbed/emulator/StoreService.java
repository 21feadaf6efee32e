package switchgap.testbed.emulator;

import java.io.IOException;
import java.util.Map;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.HttpServerLimits;
import switchgap.net.NetworkTransport;

/**
 * An HTTP front end of an {@link EmulatedStore}. It serves {@code GET
 * /v1/functions/NAME?worker=W&micros=N}, with status 200 if the fetch succeeds and 503 if it is
 * refused or interrupted.
 */
public final class StoreService implements HttpServer.RequestHandler, AutoCloseable {
  private static final String PATH_PREFIX = "/v1/functions/";
  private static final byte[] CONTENT = new byte[1024];
  private static final byte[] EMPTY = {};
  private static final Map<String, String> HEADERS =
      Map.of("Content-Type", "application/octet-stream");
  private final Scheduler scheduler;
  private final EmulatedStore store;
  private final HttpServer server;
  private final int port;

  /** Starts to listen on a free port of the loopback address. */
  public StoreService(Scheduler scheduler, NetworkTransport net, EmulatedStore store)
      throws IOException {
    this.scheduler = scheduler;
    this.store = store;
    server = new HttpServer(net, HttpServerLimits.DEFAULT, this);
    port = server.listen("127.0.0.1", 0);
  }

  /** The port that the service listens on. */
  public int port() {
    return port;
  }

  @Override
  public void handle(HttpExchange exchange) {
    scheduler.post(
        () -> {
          String worker = exchange.queryParameter("worker");
          String micros = exchange.queryParameter("micros");
          if (worker == null || micros == null || !exchange.path().startsWith(PATH_PREFIX)) {
            exchange.respond(404, HEADERS, EMPTY);
            return;
          }
          store.fetch(
              worker,
              exchange.path().substring(PATH_PREFIX.length()),
              Long.parseLong(micros),
              fetched -> exchange.respond(fetched ? 200 : 503, HEADERS, fetched ? CONTENT : EMPTY));
        });
  }

  @Override
  public void close() {
    server.close();
  }
}
