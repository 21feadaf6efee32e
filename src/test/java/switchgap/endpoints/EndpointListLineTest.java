package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/**
 * A line is either accepted completely or rejected with a reason, and the number of workers is
 * limited.
 */
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
  void acceptsMaximumNumberOfWorkersAndRejectsOneMore() throws Exception {
    StringBuilder workers = new StringBuilder(WORKER);
    for (int i = 1; i < MAX_WORKERS; i++) {
      workers.append(',').append(WORKER.replace("\"w\"", "\"w" + i + "\""));
    }
    assertThat(parse(workers.toString()).updates()).hasSize(MAX_WORKERS);
    assertRejected(
        workers.append(',').append(WORKER).toString(),
        "endpoint list has more than 100000 workers");
  }

  @Test
  void rejectionNamesWorkerAndReason() {
    assertRejected(WORKER + "," + WORKER, "worker w is listed twice");
    assertRejected(WORKER.replace("80", "0"), "worker w: port 0 is not in the range 1 to 65535");
    assertRejected(
        WORKER.replace("ready", "tired"),
        "worker w: state \"tired\" is not ready, draining or gone");
    assertRejected(WORKER.replace("\"a\"", "\"q\""), "worker w: unknown zone \"q\"");
    assertRejected(
        WORKER.replace("\"w\"", "\"\""), "worker name is empty or longer than 200 characters");
    assertRejected(
        WORKER.replace("}", ",\"size\":-1}"), "worker w: size -1.0 is not in the range 0 to 1.0E9");
    assertThatThrownBy(() -> EndpointListLine.parse("{\"whole\":true,\"workers\":[]}", ANY_ZONE))
        .hasMessageContaining("version");
    assertThatThrownBy(() -> EndpointListLine.parse("{\"whole\":tr", ANY_ZONE))
        .isInstanceOf(IOException.class);
  }
}
