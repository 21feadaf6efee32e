package switchgap.testbed.emulator;

import java.io.IOException;
import java.time.Duration;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.HttpServerLimits;

/**
 * An HTTP front end of an {@link EmulatedWorker}: a model server with the Open Inference Protocol,
 * its model repository extension, and load reports in response headers. It records each request
 * received and each response sent. Its emulated process can be killed and restarted on the same
 * port. Used only on the scheduler's thread.
 */
public final class EmulatedModelServer implements HttpServer.RequestHandler {
  private static final int MAX_HEAD_BYTES = 16 << 10;
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final int MAX_CONNECTIONS = 10_000;
  private static final HttpServerLimits LIMITS =
      new HttpServerLimits(
          MAX_HEAD_BYTES,
          MAX_BODY_BYTES,
          MAX_CONNECTIONS,
          Duration.ofSeconds(120),
          Duration.ofSeconds(30));
  private static final long SLOW_CONNECTION_DELAY_MICROS = 400_000;
  private final String name;
  private final ModelServerContext context;
  private final WorkerFaults faults;
  private EmulatedWorker worker;
  private InferenceHandler inference;
  private RepositoryHandler repository;
  private HttpServer server;
  private int port;

  /** Creates a server that is not running; {@code seed} is the seed of its fault injection. */
  public EmulatedModelServer(String name, ModelServerContext context, long seed) {
    this.name = name;
    this.context = context;
    this.faults = new WorkerFaults(seed);
  }

  /**
   * Starts the server's process, without loaded replicas.
   *
   * @param hardware capabilities of its worker
   * @param store store that functions are fetched from
   * @param seed seed of the worker's random draws
   * @param startsCold whether the worker has to warm up; false emulates one that is already warm
   * @return the port on the loopback address; a restarted server listens on the same port
   */
  public int start(WorkerHardware hardware, FunctionFetcher store, long seed, boolean startsCold)
      throws IOException {
    worker =
        new EmulatedWorker(
            hardware, context.scheduler(), store, name, seed, startsCold, this::workerCrashed);
    inference = new InferenceHandler(name, context, worker, faults);
    repository = new RepositoryHandler(name, context, worker);
    context.record(
        eventNow("started")
            .with("worker", name)
            .with("cold", startsCold)
            .with("cores", hardware.compute().cores())
            .with("speed", hardware.compute().speed()));
    server = new HttpServer(context.net(), LIMITS, this);
    port = server.listen("127.0.0.1", port);
    return port;
  }

  /** The server's name, which is also its worker's. */
  public String name() {
    return name;
  }

  /** The faults that the server injects; they remain set across restarts. */
  public WorkerFaults faults() {
    return faults;
  }

  /** The worker of the most recently started process; null before the first start. */
  public EmulatedWorker worker() {
    return worker;
  }

  /** The port on the loopback address; 0 before the first start. */
  public int port() {
    return port;
  }

  /** Whether the server's process is running. */
  public boolean isRunning() {
    return server != null;
  }

  private void workerCrashed() {
    context.record(eventNow("fell").with("worker", name));
    kill();
  }

  /** Ends the process immediately: closes its connections and discards its worker's state. */
  public void kill() {
    if (server == null) {
      return;
    }
    worker.kill();
    context.record(eventNow("ended").with("worker", name));
    server.close();
    server = null;
  }

  private LogEvent eventNow(String kind) {
    return LogEvent.of(context.scheduler().now(), kind);
  }

  @Override
  public void handle(HttpExchange exchange) {
    long receivedAt = context.scheduler().now();
    context
        .scheduler()
        .post(
            () -> {
              if (server == null) {
                return;
              }
              if (faults.hits(WorkerFaults.Kind.SLOW_CONNECT)) {
                context
                    .scheduler()
                    .after(SLOW_CONNECTION_DELAY_MICROS, () -> serve(exchange, receivedAt));
              } else {
                serve(exchange, receivedAt);
              }
            });
  }

  private void serve(HttpExchange exchange, long receivedAt) {
    String[] segments = exchange.path().split("/", -1);
    if (exchange.path().equals("/v2/health/ready") || exchange.path().equals("/v2/health/live")) {
      repository.probe(exchange, receivedAt);
    } else if (isModelPath(segments, "infer")) {
      inference.infer(exchange, receivedAt, ModelServerResponses.decode(segments[3]));
    } else if (isModelPath(segments, "ready")) {
      repository.modelReady(exchange, receivedAt, ModelServerResponses.decode(segments[3]));
    } else if (isRepositoryPath(segments, "load")) {
      repository.load(exchange, receivedAt, ModelServerResponses.decode(segments[4]));
    } else if (isRepositoryPath(segments, "unload")) {
      repository.unload(exchange, receivedAt, ModelServerResponses.decode(segments[4]));
    } else if (exchange.path().equals("/v2/repository/index")) {
      repository.index(exchange);
    } else {
      repository.notFound(exchange);
    }
  }

  /** Whether a path is {@code /v2/models/NAME/ACTION}. */
  private static boolean isModelPath(String[] segments, String action) {
    return segments.length == 5
        && segments[1].equals("v2")
        && segments[2].equals("models")
        && segments[4].equals(action);
  }

  /** Whether a path is {@code /v2/repository/models/NAME/ACTION}. */
  private static boolean isRepositoryPath(String[] segments, String action) {
    return segments.length == 6 && segments[2].equals("repository") && segments[5].equals(action);
  }

  @Override
  public void clientDisconnected(HttpExchange exchange) {
    context
        .scheduler()
        .post(
            () -> {
              if (server != null && exchange.path().endsWith("/infer")) {
                inference.clientDisconnected(exchange);
              }
            });
  }
}
