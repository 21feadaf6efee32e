package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** A line of the list is accepted as a whole or rejected with its reason; its size is bounded. */
class EndpointListLineTest {
  private static final String WORKER =
      "{\"name\":\"w\",\"port\":80,\"state\":\"ready\",\"zone\":\"a\"}";
  private static final int MAX_WORKERS = 100_000;
  private static final EndpointNames ONE_ZONE =
      new EndpointNames(zone -> zone.equals("a") ? 0 : -1, kind -> 0, 0);
  private static final EndpointNames ANY_ZONE = new EndpointNames(zone -> 0, kind -> 0, 0);

  private static EndpointListLine parse(String workers) throws IOException {
    return EndpointListLine.parse(
        "{\"whole\":true,\"version\":7,\"workers\":[" + workers + "]}", ONE_ZONE);
  }

  private static void assertRejected(String workers, String reason) {
    assertThatThrownBy(() -> parse(workers))
        .isInstanceOf(IOException.class)
        .hasMessageContaining(reason);
  }

  @Test
  void acceptsAsManyWorkersAsTheBoundAndRejectsOneMore() throws Exception {
    StringBuilder workers = new StringBuilder(WORKER);
    for (int i = 1; i < MAX_WORKERS; i++) {
      workers.append(',').append(WORKER.replace("\"w\"", "\"w" + i + "\""));
    }
    assertThat(parse(workers.toString()).updates()).hasSize(MAX_WORKERS);
    assertRejected(workers.append(',').append(WORKER).toString(), "more than 100000 workers");
  }

  @Test
  void namesTheWorkerAndTheReasonOfEachError() {
    assertRejected(WORKER + "," + WORKER, "worker w stands twice");
    assertRejected(WORKER.replace("80", "0"), "worker w: port 0");
    assertRejected(
        WORKER.replace("ready", "tired"),
        "worker w: state \"tired\" is not ready, draining or gone");
    assertRejected(WORKER.replace("\"a\"", "\"q\""), "worker w: unknown zone \"q\"");
    assertRejected(WORKER.replace("\"w\"", "\"\""), "without a usable name");
    assertRejected(WORKER.replace("}", ",\"size\":-1}"), "worker w: size -1.0");
    assertThatThrownBy(() -> EndpointListLine.parse("{\"whole\":true,\"workers\":[]}", ANY_ZONE))
        .hasMessageContaining("version");
    assertThatThrownBy(() -> EndpointListLine.parse("{\"whole\":tr", ANY_ZONE))
        .isInstanceOf(IOException.class);
  }
}
