package switchgap.planner.link;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;
import switchgap.planner.PendingLoad;

/** The members of messages on the wire, which other versions read. */
class PlannerMessageCodecTest {
    private static String json(Object message) throws IOException {
        return new CBORMapper().readTree(PlannerMessageCodec.encode(message)).toString();
    }

    @Test void namesOnTheWireAreThoseOfVersionTwo() throws IOException {
        PendingLoad load = new PendingLoad(7, "w1", "f", 512, 250_000, 1.5, 3000);
        assertThat(json(new LoadBacklog(3, 4, List.of(load)))).isEqualTo(
            "{\"epoch\":3,\"seq\":4,\"waiting\":[{\"id\":7,"
                + "\"worker\":\"w1\",\"function\":\"f\",\"memory\":512.0,\"load\":250000,\"importance\":1.5,\"age\":3000}],"
                + "\"is\":\"told\"}");
        assertThat(json(new LoadPlan(3, 4, new long[] {7}))).isEqualTo(
            "{\"epoch\":3,\"seq\":4,\"ids\":[7],\"is\":\"plan\"}");
    }

    @Test void aMessageIsReadAsItWasWritten() throws IOException {
        LoadBacklog backlog = new LoadBacklog(3, 4,
            List.of(new PendingLoad(7, "w1", "f", 512, 250_000, 1.5, 3000)));
        assertThat(PlannerMessageCodec.decode(PlannerMessageCodec.encode(backlog))).isEqualTo(backlog);
    }
}
