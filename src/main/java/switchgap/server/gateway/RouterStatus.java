package switchgap.server.gateway;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.admission.AdmissionController;
import switchgap.config.EnumWords;
import switchgap.planner.LoadPlanCounts;
import switchgap.protocol.invoke.InvokeApi;
import switchgap.protocol.invoke.RequestCounts;
import switchgap.router.RouterCore;

/**
 * What a router reports of itself: counts of requests and load plans, the status page for
 * operators, and its totals when it stops. All methods but {@link #toJson} are safe from any
 * thread.
 */
final class RouterStatus {
  /** Under the router's name, by which operators filter the lines of start and stop. */
  private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final int routerIndex;
  private final InvokeApi api;
  private final AdmissionController admission;
  private final PlannedWorkerTransport planned;
  private final LatenessRecorder lateness;

  /**
   * Creates the reports of one router.
   *
   * @param admission the admission controller, or null where admission control is off
   * @param planned the transport in which load commands wait, or null where there is no planner
   * @param lateness the lateness of the event loop
   */
  RouterStatus(
      int routerIndex,
      InvokeApi api,
      AdmissionController admission,
      PlannedWorkerTransport planned,
      LatenessRecorder lateness) {
    this.routerIndex = routerIndex;
    this.api = api;
    this.admission = admission;
    this.planned = planned;
    this.lateness = lateness;
  }

  /** Requests that were accepted and have no response yet. */
  int pendingRequests() {
    return api.pendingRequests();
  }

  /** Requests that have ended so far. */
  RequestCounts requestCounts() {
    return api.requestCounts();
  }

  /**
   * Load commands and plans so far, or null where there is no planner. The event loop counts
   * without synchronization, so another thread may see counts of a moment ago.
   */
  LoadPlanCounts loadPlanCounts() {
    return planned == null ? null : planned.counts();
  }

  /** A copy of the event loop's lateness, microseconds. */
  Histogram lateness() {
    return lateness.snapshot();
  }

  /** Logs how all requests ended and how late the event loop was. */
  void logTotals() {
    RequestCounts counts = requestCounts();
    Histogram late = lateness();
    LOG.info(
        "stopped: {} succeeded, {} rejected, {} failed, {} overdue; loop lateness in us: p50 {} p99"
            + " {} p99.9 {} max {}",
        counts.succeeded(),
        counts.rejected(),
        counts.failed(),
        counts.overdue(),
        late.getValueAtPercentile(50),
        late.getValueAtPercentile(99),
        late.getValueAtPercentile(99.9),
        late.getMaxValue());
  }

  /** The status now, as JSON in UTF-8; on the event loop. */
  byte[] toJson(RouterCore core) {
    ObjectNode root = JSON.createObjectNode();
    root.put("router", routerIndex);
    root.put("up_s", core.now().toMillis() / MILLIS_PER_SECOND);
    addRequests(root.putObject("calls"));
    root.put("level", admission == null ? "none" : EnumWords.wordOf(admission.level()));
    if (planned == null) {
      root.put("planner", "none: one program");
    } else {
      addPlanner(root.putObject("planner"));
    }
    return root.toPrettyString().concat("\n").getBytes(StandardCharsets.UTF_8);
  }

  private void addRequests(ObjectNode node) {
    RequestCounts counts = requestCounts();
    node.put("held", pendingRequests());
    node.put("finished", counts.succeeded());
    node.put("pushed_back", counts.rejected());
    node.put("killed", counts.failed());
    node.put("overdue", counts.overdue());
  }

  private void addPlanner(ObjectNode node) {
    LoadPlanCounts counts = planned.counts();
    node.put("state", EnumWords.wordOf(planned.state()));
    node.put("epoch", planned.epoch());
    node.put("orders_waiting", planned.pendingLoads());
    node.put("led", counts.planned());
    node.put("patience_over", counts.timedOut());
    node.put("stale", counts.stale());
    node.put("refused", counts.rejected());
  }
}
