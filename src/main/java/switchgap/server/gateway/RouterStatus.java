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
 * Reports the state of a router: counts of requests and load plans, the status page for operators,
 * and the totals logged at shutdown. All methods except {@link #toJson} are safe from any thread.
 */
final class RouterStatus {
  /** Uses the name of {@link GatewayRouter}, since operators filter log lines by it. */
  private static final Logger LOG = LoggerFactory.getLogger(GatewayRouter.class);

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final int routerIndex;
  private final InvokeApi api;
  private final AdmissionController admission;
  private final PlannedWorkerTransport plannedTransport;
  private final LatenessRecorder lateness;

  /**
   * Creates the status of one router.
   *
   * @param admission the admission controller, or null if admission control is off
   * @param plannedTransport the transport in which load commands wait for plans, or null if no
   *     planner is configured
   * @param lateness recorder of the event loop's lateness
   */
  RouterStatus(
      int routerIndex,
      InvokeApi api,
      AdmissionController admission,
      PlannedWorkerTransport plannedTransport,
      LatenessRecorder lateness) {
    this.routerIndex = routerIndex;
    this.api = api;
    this.admission = admission;
    this.plannedTransport = plannedTransport;
    this.lateness = lateness;
  }

  /** Number of requests that were accepted and have no response yet. */
  int pendingRequests() {
    return api.pendingRequests();
  }

  /** Numbers of requests that have ended since the start, by outcome. */
  RequestCounts requestCounts() {
    return api.requestCounts();
  }

  /**
   * Counts of load commands and plans since the start, or null if no planner is configured. The
   * event loop updates them without synchronization, so another thread may see slightly outdated
   * values.
   */
  LoadPlanCounts loadPlanCounts() {
    return plannedTransport == null ? null : plannedTransport.counts();
  }

  /** Returns a copy of the histogram of the event loop's lateness, in microseconds. */
  Histogram lateness() {
    return lateness.snapshot();
  }

  /** Logs the outcomes of all requests and percentiles of the event loop's lateness. */
  void logTotals() {
    RequestCounts counts = requestCounts();
    Histogram tickLateness = lateness();
    LOG.info(
        "stopped: {} succeeded, {} rejected, {} failed, {} overdue; loop lateness in us: p50 {} p99"
            + " {} p99.9 {} max {}",
        counts.succeeded(),
        counts.rejected(),
        counts.failed(),
        counts.overdue(),
        tickLateness.getValueAtPercentile(50),
        tickLateness.getValueAtPercentile(99),
        tickLateness.getValueAtPercentile(99.9),
        tickLateness.getMaxValue());
  }

  /** Returns the current status as JSON in UTF-8; on the event loop. */
  byte[] toJson(RouterCore core) {
    ObjectNode root = JSON.createObjectNode();
    root.put("router", routerIndex);
    root.put("up_s", core.now().toMillis() / MILLIS_PER_SECOND);
    addRequests(root.putObject("calls"));
    root.put("level", admission == null ? "none" : EnumWords.wordOf(admission.level()));
    if (plannedTransport == null) {
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
    LoadPlanCounts counts = plannedTransport.counts();
    node.put("state", EnumWords.wordOf(plannedTransport.state()));
    node.put("epoch", plannedTransport.epoch());
    node.put("orders_waiting", plannedTransport.pendingLoads());
    node.put("led", counts.planned());
    node.put("patience_over", counts.timedOut());
    node.put("stale", counts.stale());
    node.put("refused", counts.rejected());
  }
}
