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
 * Encodes and decodes messages between router and planner. A message is a CBOR map, whose member
 * {@code is} contains the type. The other members have the names of the record's components, except
 * for those that are renamed here. Other versions of the program read these names, so they must not
 * change. Thread-safe.
 */
public final class PlannerMessageCodec {
  /** Version of the protocol, which must be the same on both sides. */
  public static final int VERSION = 2;

  /** Maximum size of a message in bytes. */
  public static final int MAX_FRAME_BYTES = 1 << 20;

  /** Value of {@link PlannerMessage.Hello#side} in messages of the router. */
  static final String ROUTER_SIDE = "edge";

  /** Value of {@link PlannerMessage.Hello#side} in messages of the planner. */
  static final String PLANNER_SIDE = "planner";

  private static final String TYPE_MEMBER = "is";

  /** Names on the wire of the members of {@link LoadPlan}. */
  @SuppressWarnings("UnusedVariable") // Jackson reads only the annotations
  private abstract static class LoadPlanNames {
    @JsonProperty("seq")
    private long sequence;
  }

  /** Names on the wire of the members of {@link LoadBacklog}. */
  @SuppressWarnings("UnusedVariable") // Jackson reads only the annotations
  private abstract static class LoadBacklogNames {
    @JsonProperty("seq")
    private long sequence;
  }

  /** Names on the wire of the members of {@link PendingLoad}. */
  @SuppressWarnings("UnusedVariable") // Jackson reads only the annotations
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

  /** Returns the wire form of a message, without the length that a frame adds. */
  public static byte[] encode(PlannerMessage message) {
    PlannerMessageType type = PlannerMessageType.of(message);
    ObjectNode node = CBOR.valueToTree(message);
    node.put(TYPE_MEMBER, type.wireName());
    try {
      return CBOR.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      // Does not occur: each message is a record of numbers, strings and lists.
      throw new IllegalArgumentException(e);
    }
  }

  /**
   * Decodes a message from its wire form.
   *
   * @throws IOException if the bytes are not a message; the exception's message contains the reason
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
