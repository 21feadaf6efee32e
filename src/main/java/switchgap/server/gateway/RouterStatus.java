package switchgap.server.gateway;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import switchgap.admission.AdmissionController;
import switchgap.config.YamlDocument;
import switchgap.router.RouterCore;

/** How a router stands, for operators: calls, level, and its planner where it has one. */
final class RouterStatus {
    private static final ObjectMapper JSON = new ObjectMapper();

    private RouterStatus() {}

    static byte[] show(int router, RouterCore c, int held, long[] ends, AdmissionController levels,
        PlannedWorkerTransport planned) {
        ObjectNode n = JSON.createObjectNode();
        n.put("router", router).put("up_s", c.now().toMillis() / 1000.0);
        n.putObject("calls").put("held", held).put("finished", ends[0]).put("pushed_back", ends[1]).put(
            "killed", ends[2]).put("overdue", ends[3]);
        n.put("level", levels == null ? "none" : YamlDocument.word(levels.level()));
        if (planned == null) {
            n.put("planner", "none: one program");
        } else {
            long[] p = planned.counts();
            n.putObject("planner").put("state", YamlDocument.word(planned.state())).put("epoch",
                planned.epoch()).put("orders_waiting", planned.waiting()).put("led", p[0]).put(
                    "patience_over", p[1]).put("stale", p[2]).put("refused", p[3]);
        }
        return n.toPrettyString().concat("\n").getBytes(StandardCharsets.UTF_8);
    }
}
