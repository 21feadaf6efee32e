package switchgap.server.gateway;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import switchgap.admission.AdmissionController;
import switchgap.config.EnumWords;
import switchgap.planner.LoadPlanCounts;
import switchgap.protocol.invoke.InvokeApi;
import switchgap.protocol.invoke.RequestCounts;
import switchgap.router.RouterCore;

/**
 * The status of a router for operators: requests, service level, and its planner where it has one.
 */
final class RouterStatus {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final int routerIndex;
  private final InvokeApi api;
  private final AdmissionController admission;
  private final PlannedWorkerTransport planned;

  /**
   * {@code admission} is null where admission control is off, {@code planned} where there is no
   * planner.
   */
  RouterStatus(
      int routerIndex,
      InvokeApi api,
      AdmissionController admission,
      PlannedWorkerTransport planned) {
    this.routerIndex = routerIndex;
    this.api = api;
    this.admission = admission;
    this.planned = planned;
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
    RequestCounts counts = api.requestCounts();
    node.put("held", api.pendingRequests());
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
