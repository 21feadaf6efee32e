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

/** The members of messages on the wire, which other versions read. */
class PlannerMessageCodecTest {
  private static String json(Object message) throws IOException {
    return new CBORMapper().readTree(PlannerMessageCodec.encode(message)).toString();
  }

  @Test
  void namesOnTheWireAreThoseOfVersionTwo() throws IOException {
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
  void aMessageIsReadAsItWasWritten() throws IOException {
    LoadBacklog backlog =
        new LoadBacklog(3, 4, List.of(new PendingLoad(7, "w1", "f", 512, 250_000, 1.5, 3000)));
    assertThat(PlannerMessageCodec.decode(PlannerMessageCodec.encode(backlog))).isEqualTo(backlog);
  }

  @Test
  void namesOfTheHandshakeAreThoseOfVersionTwo() throws IOException {
    assertThat(json(new PlannerMessageCodec.Hello(2, "edge", 1, 5)))
        .isEqualTo("{\"version\":2,\"side\":\"edge\",\"router\":1,\"epoch\":5,\"is\":\"hello\"}");
    assertThat(json(new PlannerMessageCodec.Refused("version 3")))
        .isEqualTo("{\"why\":\"version 3\",\"is\":\"refused\"}");
    assertThat(json(new PlannerMessageCodec.Heartbeat(9)))
        .isEqualTo("{\"number\":9,\"is\":\"beat\"}");
  }

  @Test
  void anObjectThatIsNoMessageIsNotEncoded() {
    assertThatThrownBy(() -> PlannerMessageCodec.encode("text"))
        .isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  void bytesThatAreNoMessageAreRejectedWithTheReason() throws IOException {
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
