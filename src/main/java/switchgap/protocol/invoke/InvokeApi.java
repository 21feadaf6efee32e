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
 * The invoke API. Requests are routed and validated on the selector thread that read them; what
 * concerns pending requests and deferred results is posted to the router's event loop. Accepts a
 * bounded number of requests at a time.
 */
public final class InvokeApi implements HttpServer.RequestHandler {
  private static final String METHOD_GET = "GET";
  private static final String METHOD_POST = "POST";
  private static final String METHOD_DELETE = "DELETE";

  private final YamlRouterSettings settings;
  private final RouterContext router;
  private final RequestTracker tracker;
  private final SynchronousRequestHandler synchronousRequests;
  private final DeferredRequestHandler deferredRequests;
  private final OperatorHandler operators;
  private final int maxPollSeconds;
  private volatile boolean stopping;

  /**
   * Creates the API of one router.
   *
   * @param writers the threads that write responses
   * @param deferred the deferred results; used on the event loop only
   * @param idPrefix of request ids: unlike that of any other start of any router
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
    synchronousRequests = new SynchronousRequestHandler(router, tracker, writers, idPrefix);
    deferredRequests = new DeferredRequestHandler(router, tracker, deferred);
    operators = new OperatorHandler(settings, router, tracker);
    maxPollSeconds = limits.maxPollSeconds();
  }

  /** Accepts no further requests; pending ones get their responses. */
  public void stopAccepting() {
    stopping = true;
  }

  /** Sets what {@code GET /v1/status} responds with, as JSON; it is run on the event loop. */
  public void setStatusSource(Function<RouterCore, byte[]> source) {
    operators.setStatusSource(source);
  }

  /** Requests that were accepted and have not ended. */
  public int pendingRequests() {
    return tracker.pending();
  }

  /** Requests that have ended since the start. */
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
    if (!operators.handle(exchange, stopping)) {
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
      router.post(core -> deferredRequests.delete(exchange, id, core));
      return;
    }
    requireMethod(exchange, METHOD_GET);
    int waitSeconds = Math.min(maxPollSeconds, new RequestHeaders(exchange).preferredWaitSeconds());
    router.post(core -> deferredRequests.poll(exchange, id, waitSeconds));
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
      router.post(core -> deferredRequests.submit(exchange, request, deadline));
    } else {
      synchronousRequests.submit(exchange, request, deadline);
    }
  }

  @Override
  public void clientLeft(HttpExchange exchange) {
    if (exchange.attachment() instanceof DisconnectListener listener) {
      router.post(listener::clientDisconnected);
    }
  }
}
