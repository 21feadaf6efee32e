package switchgap.planner.link;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;
import switchgap.planner.PendingLoad;
import switchgap.planner.PlannerMessage;

/**
 * Encodes messages between edge and planner as CBOR maps; the member {@code is} names the type.
 * Names on the wire are fixed here. Thread-safe.
 */
public final class PlannerMessageCodec {
  /** Version of the protocol; both sides must speak the same. */
  public static final int VERSION = 2;

  /** The largest message, bytes. */
  public static final int MAX_FRAME_BYTES = 1 << 20;

  /** The edge's name in {@link PlannerMessage.Hello#side}. */
  static final String ROUTER_SIDE = "edge";

  /** The planner's name in {@link PlannerMessage.Hello#side}. */
  static final String PLANNER_SIDE = "planner";

  private static final String TYPE_MEMBER = "is";

  /** Names on the wire of the members of a plan. */
  @SuppressWarnings("UnusedVariable") // Jackson reads the annotations alone
  private abstract static class LoadPlanNames {
    @JsonProperty("seq")
    private long sequence;
  }

  /** Names on the wire of the members of a backlog. */
  @SuppressWarnings("UnusedVariable") // Jackson reads the annotations alone
  private abstract static class LoadBacklogNames {
    @JsonProperty("seq")
    private long sequence;
  }

  /** Names on the wire of the members of a pending load. */
  @SuppressWarnings("UnusedVariable") // Jackson reads the annotations alone
  private abstract static class PendingLoadNames {
    @JsonProperty("memory")
    private double memoryMb;

    @JsonProperty("load")
    private long loadMicros;

    @JsonProperty("importance")
    private double priorityWeight;

    @JsonProperty("age")
    private long ageMicros;
  }

  private static final ObjectMapper CBOR = mapper();

  private PlannerMessageCodec() {}

  private static ObjectMapper mapper() {
    ObjectMapper mapper = new CBORMapper();
    mapper.addMixIn(LoadPlan.class, LoadPlanNames.class);
    mapper.addMixIn(LoadBacklog.class, LoadBacklogNames.class);
    mapper.addMixIn(PendingLoad.class, PendingLoadNames.class);
    mapper.configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, true);
    mapper.configure(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES, true);
    return mapper;
  }

  /** Encodes a message. */
  public static byte[] encode(PlannerMessage message) {
    PlannerMessageType type = PlannerMessageType.of(message);
    ObjectNode node = CBOR.valueToTree(message);
    node.put(TYPE_MEMBER, type.wireName());
    try {
      return CBOR.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e); // each message is a record of plain values
    }
  }

  /**
   * Decodes a message.
   *
   * @throws IOException if the bytes are not a message; its text says why
   */
  public static PlannerMessage decode(byte[] bytes) throws IOException {
    JsonNode node = CBOR.readTree(bytes);
    if (!(node instanceof ObjectNode members) || !members.path(TYPE_MEMBER).isTextual()) {
      throw new IOException("no message");
    }
    PlannerMessageType type = PlannerMessageType.named(members.remove(TYPE_MEMBER).asText());
    if (type == null) {
      throw new IOException("a message of an unknown kind");
    }
    return CBOR.treeToValue(members, type.messageClass());
  }
}
