package switchgap.planner.link;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;
import switchgap.planner.PendingLoad;
import switchgap.planner.PlannerMessage;

/** Tests the wire form of messages, which must stay readable for other versions of the program. */
class PlannerMessageCodecTest {
  private static String json(PlannerMessage message) throws IOException {
    return new CBORMapper().readTree(PlannerMessageCodec.encode(message)).toString();
  }

  @Test
  void encodesBacklogAndPlanWithMemberNamesOfVersionTwo() throws IOException {
    PendingLoad load = new PendingLoad(7, "w1", "f", 512, 250_000, 1.5, 3000);
    assertThat(json(new LoadBacklog(3, 4, List.of(load))))
        .isEqualTo(
            "{\"epoch\":3,\"seq\":4,\"waiting\":[{\"id\":7,"
                + "\"worker\":\"w1\",\"function\":\"f\",\"memory\":512.0,"
                + "\"load\":250000,\"importance\":1.5,\"age\":3000}],"
                + "\"is\":\"told\"}");
    assertThat(json(new LoadPlan(3, 4, new long[] {7})))
        .isEqualTo("{\"epoch\":3,\"seq\":4,\"ids\":[7],\"is\":\"plan\"}");
  }

  @Test
  void decodesBacklogEqualToEncodedOne() throws IOException {
    LoadBacklog backlog =
        new LoadBacklog(3, 4, List.of(new PendingLoad(7, "w1", "f", 512, 250_000, 1.5, 3000)));
    assertThat(PlannerMessageCodec.decode(PlannerMessageCodec.encode(backlog))).isEqualTo(backlog);
  }

  @Test
  void encodesHandshakeAndHeartbeatWithMemberNamesOfVersionTwo() throws IOException {
    assertThat(json(new PlannerMessage.Hello(2, "edge", 1, 5)))
        .isEqualTo("{\"version\":2,\"side\":\"edge\",\"router\":1,\"epoch\":5,\"is\":\"hello\"}");
    assertThat(json(new PlannerMessage.Rejected("version 3")))
        .isEqualTo("{\"why\":\"version 3\",\"is\":\"refused\"}");
    assertThat(json(new PlannerMessage.Heartbeat(9))).isEqualTo("{\"number\":9,\"is\":\"beat\"}");
  }

  @Test
  void encodesOnlyPlannerMessagesAndEachTypeHasUniqueWireName() throws NoSuchMethodException {
    assertThat(PlannerMessageCodec.class.getMethod("encode", PlannerMessage.class)).isNotNull();
    assertThatThrownBy(() -> PlannerMessageCodec.class.getMethod("encode", Object.class))
        .as("encode accepts only messages, so that other objects do not compile")
        .isInstanceOf(NoSuchMethodException.class);
    assertThat(PlannerMessageType.values())
        .extracting(PlannerMessageType::messageClass)
        .containsExactlyInAnyOrder(messageClasses());
    assertThat(PlannerMessageType.values())
        .extracting(PlannerMessageType::wireName)
        .doesNotHaveDuplicates();
  }

  @SuppressWarnings("unchecked") // the permitted subclasses of a sealed type are its subtypes
  private static Class<? extends PlannerMessage>[] messageClasses() {
    return (Class<? extends PlannerMessage>[]) PlannerMessage.class.getPermittedSubclasses();
  }

  @Test
  void reportsReasonForBytesThatAreNotAMessage() throws IOException {
    CBORMapper cbor = new CBORMapper();
    byte[] number = cbor.writeValueAsBytes(7);
    byte[] unknownType = cbor.writeValueAsBytes(Map.of("is", "greeting"));
    byte[] missingMembers = cbor.writeValueAsBytes(Map.of("is", "plan"));
    assertThatThrownBy(() -> PlannerMessageCodec.decode(number))
        .isInstanceOf(IOException.class)
        .hasMessage("no message");
    assertThatThrownBy(() -> PlannerMessageCodec.decode(unknownType))
        .isInstanceOf(IOException.class)
        .hasMessage("a message of an unknown kind");
    assertThatThrownBy(() -> PlannerMessageCodec.decode(missingMembers))
        .isInstanceOf(IOException.class);
  }
}
