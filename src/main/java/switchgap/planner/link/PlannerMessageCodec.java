package switchgap.planner.link;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.util.Map;
import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;
import switchgap.planner.PendingLoad;

/** Messages as CBOR maps; the member {@code is} says which. What is no message is refused by name. */
public final class PlannerMessageCodec {
    /** What this program speaks. */
    public static final int VERSION = 2;
    /** The largest message, bytes. */
    public static final int MOST = 1 << 20;

    /** The first word of each side: version, which side, which router; the edge names the epoch. */
    public record Hello(int version, String side, int router, long epoch) {}

    /** The link is refused, and why. */
    public record Refused(String why) {}

    /** Nothing but a sign of life. */
    public record Heartbeat(long number) {}

    private static final Map<String,
        Class<?>> KINDS = Map.of("hello", Hello.class, "refused", Refused.class, "beat", Heartbeat.class,
            "told", LoadBacklog.class, "plan", LoadPlan.class);

    /** Names on the wire of what the planner's types name otherwise. */
    private abstract static class LoadPlanNames {
        @JsonProperty("seq") private long sequence;
    }

    /** The same for a backlog. */
    private abstract static class LoadBacklogNames {
        @JsonProperty("seq") private long sequence;
    }

    /** The same for a load. */
    private abstract static class PendingLoadNames {
        @JsonProperty("memory") private double memoryMb;
        @JsonProperty("load") private long loadMicros;
        @JsonProperty("importance") private double priorityWeight;
        @JsonProperty("age") private long ageMicros;
    }

    private static final ObjectMapper CBOR = new CBORMapper().addMixIn(LoadPlan.class,
        LoadPlanNames.class).addMixIn(LoadBacklog.class, LoadBacklogNames.class).addMixIn(PendingLoad.class,
            PendingLoadNames.class).configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
                true).configure(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES, true);

    private PlannerMessageCodec() {}

    public static byte[] encode(Object message) {
        ObjectNode n = CBOR.valueToTree(message);
        KINDS.forEach((name, kind) -> { if (kind == message.getClass()) { n.put("is", name); } });
        try {
            return CBOR.writeValueAsBytes(n);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** Reads a message; an IOException says what is wrong with the bytes. */
    public static Object decode(byte[] bytes) throws IOException {
        JsonNode n = CBOR.readTree(bytes);
        if (!(n instanceof ObjectNode o) || !o.path("is").isTextual()) {
            throw new IOException("no message");
        }
        Class<?> kind = KINDS.get(o.remove("is").asText());
        if (kind == null) { throw new IOException("a message of an unknown kind"); }
        return CBOR.treeToValue(o, kind);
    }
}
