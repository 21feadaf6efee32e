package switchgap.testbed.emulator;

import java.io.IOException;
import java.time.Duration;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.HttpServerLimits;

/**
 * A model server that speaks the Open Inference Protocol with its repository extension and load
 * reports as response headers, in front of an {@link EmulatedWorker}. It records each request
 * received and each response sent. Its process can be killed and started again on the same port. On
 * the scheduler's thread.
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

  /** A server whose process does not run yet. */
  public EmulatedModelServer(String name, ModelServerContext context, long seed) {
    this.name = name;
    this.context = context;
    this.faults = new WorkerFaults(seed);
  }

  /**
   * Starts a process without replicas.
   *
   * @param hardware what its worker is
   * @param store where it fetches functions from
   * @param seed seed of the worker's random draws
   * @param cold whether it has to warm up; false for one that has run for long
   * @return the port, the same at every start
   */
  public int start(WorkerHardware hardware, FunctionFetcher store, long seed, boolean cold)
      throws IOException {
    worker =
        new EmulatedWorker(hardware, context.scheduler(), store, name, seed, cold, this::crashed);
    inference = new InferenceHandler(name, context, worker, faults);
    repository = new RepositoryHandler(name, context, worker);
    context.record(
        now("started")
            .with("worker", name)
            .with("cold", cold)
            .with("cores", hardware.compute().cores())
            .with("speed", hardware.compute().speed()));
    server = new HttpServer(context.net(), LIMITS, this);
    port = server.listen("127.0.0.1", port);
    return port;
  }

  /** Its name. */
  public String name() {
    return name;
  }

  /** The faults that it injects. */
  public WorkerFaults faults() {
    return faults;
  }

  /** The worker of its latest process. */
  public EmulatedWorker worker() {
    return worker;
  }

  /** The port that it listens at. */
  public int port() {
    return port;
  }

  /** Whether its process runs. */
  public boolean isRunning() {
    return server != null;
  }

  private void crashed() {
    context.record(now("fell").with("worker", name));
    kill();
  }

  /** Ends the process at once: connections are cut and nothing is remembered. */
  public void kill() {
    if (server == null) {
      return;
    }
    worker.kill();
    context.record(now("ended").with("worker", name));
    server.close();
    server = null;
  }

  private LogEvent now(String kind) {
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
                inference.clientLeft(exchange);
              }
            });
  }
}
