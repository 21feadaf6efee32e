package switchgap.simulator;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.time.Duration;
import java.util.HexFormat;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the bytes of each type of action record. */
class ActionRecordEncoderTest {
  private static final int ROUTER_ID = 0x0201;
  private static final int FRAME_NUMBER = 7;
  private static final long REQUEST_ID = 0x1112131415161718L;
  private static final long FUNCTION_ID = 0x2122232425262728L;
  private static final long WORKER_ID = 0x313233343536L;

  // Bytes of the ids on the wire, in hexadecimal digits; numbers are little-endian.
  private static final String REQUEST = "1817161514131211";
  private static final String FUNCTION = "2827262524232221";

  /** The upper four bytes of the id, then the lower two; each part is little-endian. */
  private static final String WORKER = "343332313635";

  private final IndexTables indices = new IndexTables();
  private final ReplyFrame reply = new ReplyFrame();
  private final ActionRecordEncoder actions = new ActionRecordEncoder(ROUTER_ID, indices, reply);
  private int request;
  private int worker;
  private int function;

  @BeforeEach
  void allocateIndices() {
    // Another request has index 0, so that the index of the request under test is not 0.
    indices.requests().allocate(1);
    request = indices.requests().allocate(REQUEST_ID);
    worker = indices.workers().allocate(WORKER_ID);
    function = indices.functions().allocate(FUNCTION_ID);
    reply.begin(FRAME_NUMBER);
  }

  /**
   * Checks the header of a reply with one record.
   *
   * @return the record's bytes in hexadecimal digits, without the zeros at its end
   */
  private String onlyRecord() {
    byte[] frame = reply.finish();
    ByteBuffer header = ByteBuffer.wrap(frame).order(ByteOrder.LITTLE_ENDIAN);
    assertThat(header.getInt(0)).isEqualTo(FRAME_NUMBER);
    assertThat(header.getInt(4)).isEqualTo(1);
    assertThat(header.getInt(8)).isEqualTo(frame.length);
    assertThat(frame.length).isEqualTo(12 + 24);
    return HexFormat.of().formatHex(frame, 12, frame.length).replaceAll("(00)+$", "");
  }

  @Test
  void encodesStartAttemptWithRequestWorkerAndTimeout() {
    actions.startAttempt(request, worker, Duration.ofNanos(0x04030201L * 1000 + 999));
    assertThat(onlyRecord()).isEqualTo("010102" + REQUEST + WORKER + "01020304");
  }

  @Test
  void encodesRejectWithRequestAndRetryAfter() {
    actions.reject(request, Duration.ofMillis(1));
    assertThat(onlyRecord()).isEqualTo("020102" + REQUEST + "e803");
  }

  @Test
  void encodesRejectWithoutRetryAfterAsZero() {
    actions.reject(request, null);
    assertThat(onlyRecord()).isEqualTo("020102" + REQUEST);
  }

  @Test
  void encodesFailWithRequest() {
    actions.fail(request);
    assertThat(onlyRecord()).isEqualTo("030102" + REQUEST);
  }

  @Test
  void encodesCancelWithRequestAndAttempt() {
    actions.cancelAttempt(request, 0x0403);
    assertThat(onlyRecord()).isEqualTo("040102" + REQUEST + "0304");
  }

  @Test
  void encodesWakeUpWithDelayAndToken() {
    actions.scheduleWakeUp(Duration.ofMillis(1), REQUEST_ID);
    assertThat(onlyRecord()).isEqualTo("050102" + "e8030000" + REQUEST);
  }

  @Test
  void encodesProbeWithWorker() {
    actions.probe(worker);
    assertThat(onlyRecord()).isEqualTo("060102" + WORKER);
  }

  @Test
  void encodesSubscriptionWithItsFlag() {
    actions.subscribeToEndpoints();
    assertThat(onlyRecord()).isEqualTo("0b0102" + "01");
  }

  @Test
  void encodesLoadWithWorkerFunctionAndOneReplica() {
    actions.load(worker, function);
    assertThat(onlyRecord()).isEqualTo("0d0102" + WORKER + FUNCTION + "01");
  }

  @Test
  void encodesQueryWithWorkerFunctionAndNoReplica() {
    actions.queryReplicas(worker, function);
    assertThat(onlyRecord()).isEqualTo("0d0102" + WORKER + FUNCTION);
  }

  @Test
  void encodesUnloadWithWorkerAndFunction() {
    actions.unload(worker, function);
    assertThat(onlyRecord()).isEqualTo("0e0102" + WORKER + FUNCTION);
  }

  @Test
  void encodesPolicyFaultWithReferenceToItsText() {
    actions.policyFailed(new IllegalStateException("broken"));
    byte[] frame = reply.finish();
    assertThat(HexFormat.of().formatHex(frame, 12, 12 + 7)).isEqualTo("0a0102" + "00000000");
    int textLength = ByteBuffer.wrap(frame).order(ByteOrder.LITTLE_ENDIAN).getInt(12 + 7);
    assertThat(textLength).isEqualTo(frame.length - 12 - 24);
    assertThat(new String(frame, 12 + 24, textLength, UTF_8))
        .startsWith(
            "java.lang.IllegalStateException: broken at"
                + " switchgap.simulator.ActionRecordEncoderTest.");
  }

  @Test
  void encodesRecordsBeyondInitialBuffer() {
    for (int i = 0; i < 1000; i++) {
      actions.scheduleWakeUp(Duration.ZERO, i);
    }
    ByteBuffer frame = ByteBuffer.wrap(reply.finish()).order(ByteOrder.LITTLE_ENDIAN);
    assertThat(frame.getInt(4)).isEqualTo(1000);
    for (int i = 0; i < 1000; i++) {
      assertThat(frame.getLong(12 + 24 * i + 7)).isEqualTo(i);
    }
  }
}
