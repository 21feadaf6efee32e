package switchgap.protocol.invoke;

import java.time.Duration;
import java.util.function.Function;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.KeyedWriters;
import switchgap.router.DeferredResults;
import switchgap.router.RouterCore;

/**
 * The invoke API. Requests are routed and validated on the selector thread that read them; work on
 * pending requests and deferred results is posted to the router's event loop. The number of pending
 * requests is bounded.
 */
public final class InvokeApi implements HttpServer.RequestHandler {
  private static final String METHOD_GET = "GET";
  private static final String METHOD_POST = "POST";
  private static final String METHOD_DELETE = "DELETE";

  private final YamlRouterSettings settings;
  private final RouterContext router;
  private final RequestTracker tracker;
  private final SynchronousRequestHandler synchronousHandler;
  private final DeferredRequestHandler deferredHandler;
  private final OperatorHandler operatorHandler;
  private final int maxPollSeconds;
  private volatile boolean stopping;

  /**
   * Creates the API of one router.
   *
   * @param writers the threads that write responses
   * @param deferred the deferred results; used on the event loop only
   * @param idPrefix prefix of request ids, unique for each start of each router
   */
  public InvokeApi(
      YamlRouterSettings settings,
      RouterContext router,
      KeyedWriters writers,
      DeferredResults deferred,
      String idPrefix,
      InvokeLimits limits) {
    this.settings = settings;
    this.router = router;
    tracker = new RequestTracker(limits.maxPendingRequests());
    synchronousHandler = new SynchronousRequestHandler(router, tracker, writers, idPrefix);
    deferredHandler = new DeferredRequestHandler(router, tracker, deferred);
    operatorHandler = new OperatorHandler(settings, router, tracker);
    maxPollSeconds = limits.maxPollSeconds();
  }

  /** Stops accepting requests; pending requests still get their responses. */
  public void stopAccepting() {
    stopping = true;
  }

  /** Sets the source of the JSON body of {@code GET /v1/status}; it is called on the event loop. */
  public void setStatusSource(Function<RouterCore, byte[]> source) {
    operatorHandler.setStatusSource(source);
  }

  /** Number of requests that were accepted and have not ended. */
  public int pendingRequests() {
    return tracker.pending();
  }

  /** Numbers of requests that have ended since the start, by outcome. */
  public RequestCounts requestCounts() {
    return tracker.counts();
  }

  @Override
  public void handle(HttpExchange exchange) {
    try {
      route(exchange);
    } catch (InvalidRequestException e) {
      ResponseWriter.writeProblem(exchange, e.problem());
    }
  }

  private void route(HttpExchange exchange) throws InvalidRequestException {
    ResourcePath path = ResourcePath.parse(exchange.path());
    switch (path.resource()) {
      case FUNCTION_INVOCATION -> invoke(path.name(), exchange);
      case DEFERRED_REQUEST -> handleDeferredRequest(path.name(), exchange);
      default -> handleOperatorRequest(exchange);
    }
  }

  private void handleOperatorRequest(HttpExchange exchange) throws InvalidRequestException {
    if (!operatorHandler.handle(exchange, stopping)) {
      throw new InvalidRequestException(
          ProblemType.UNKNOWN_PATH, "nothing is at " + RequestHeaders.quoted(exchange.path()));
    }
  }

  private static void requireMethod(HttpExchange exchange, String method)
      throws InvalidRequestException {
    if (!exchange.method().equals(method)) {
      throw new InvalidRequestException(
          ProblemType.METHOD_NOT_ALLOWED,
          RequestHeaders.quoted(exchange.method()) + " is not spoken here, " + method + " is");
    }
  }

  private void handleDeferredRequest(String id, HttpExchange exchange)
      throws InvalidRequestException {
    if (exchange.method().equals(METHOD_DELETE)) {
      router.post(core -> deferredHandler.delete(exchange, id, core));
      return;
    }
    requireMethod(exchange, METHOD_GET);
    int waitSeconds = Math.min(maxPollSeconds, new RequestHeaders(exchange).preferredWaitSeconds());
    router.post(core -> deferredHandler.poll(exchange, id, waitSeconds));
  }

  private void invoke(String function, HttpExchange exchange) throws InvalidRequestException {
    requireMethod(exchange, METHOD_POST);
    InvokeRequest request = new InvokeRequestReader(exchange, settings).read(function);
    if (stopping) {
      throw new InvalidRequestException(ProblemDetails.routerStopping());
    }
    if (!tracker.tryAcquire()) {
      throw new InvalidRequestException(ProblemDetails.pendingLimitReached(tracker.maxPending()));
    }
    Duration deadline = router.now().plus(request.timeout());
    if (request.deferred()) {
      router.post(core -> deferredHandler.submit(exchange, request, deadline));
    } else {
      synchronousHandler.submit(exchange, request, deadline);
    }
  }

  @Override
  public void clientDisconnected(HttpExchange exchange) {
    if (exchange.attachment() instanceof DisconnectListener listener) {
      router.post(listener::clientDisconnected);
    }
  }
}
