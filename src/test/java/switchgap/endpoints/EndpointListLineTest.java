package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** A line of the list is good as a whole or refused with its reason; its size is bounded. */
class EndpointListLineTest {
    private static final String GOOD = "{\"name\":\"w\",\"port\":80,\"state\":\"ready\",\"zone\":\"a\"}";

    private static EndpointListLine read(String workers) throws IOException {
        return EndpointListLine.parse("{\"whole\":true,\"version\":7,\"workers\":[" + workers + "]}", 0,
            z -> z.equals("a") ? 0 : -1, k -> 0);
    }

    private static void refused(String workers, String why) {
        assertThatThrownBy(() -> read(workers)).isInstanceOf(IOException.class).hasMessageContaining(why);
    }

    @Test void atTheBoundItIsTakenAndPastItRefused() throws Exception {
        StringBuilder all = new StringBuilder(GOOD);
        for (int i = 1; i < 100_000; i++) { all.append(',').append(GOOD.replace("\"w\"", "\"w" + i + "\"")); }
        assertThat(read(all.toString()).updates()).hasSize(100_000);
        refused(all.append(',').append(GOOD).toString(), "more than 100000 workers");
    }

    @Test void mistakesAreNamed() {
        refused(GOOD + "," + GOOD, "worker w stands twice");
        refused(GOOD.replace("80", "0"), "worker w: port 0");
        refused(GOOD.replace("ready", "tired"), "worker w: state \"tired\" is not ready, draining or gone");
        refused(GOOD.replace("\"a\"", "\"q\""), "worker w: unknown zone \"q\"");
        refused(GOOD.replace("\"w\"", "\"\""), "without a usable name");
        refused(GOOD.replace("}", ",\"size\":-1}"), "worker w: size -1.0");
        assertThatThrownBy(() -> EndpointListLine.parse("{\"whole\":true,\"workers\":[]}", 0, z -> 0,
            k -> 0)).hasMessageContaining("version");
        assertThatThrownBy(() -> EndpointListLine.parse("{\"whole\":tr", 0, z -> 0, k -> 0)).isInstanceOf(
            IOException.class);
    }
}
