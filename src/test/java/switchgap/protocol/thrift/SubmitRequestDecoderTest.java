package switchgap.protocol.thrift;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import switchgap.router.PendingRequest;
import switchgap.server.platform.TestPlatformSettings;

/** Decoding of the fields of a submit into a request. */
class SubmitRequestDecoderTest {
  /** Decodes the valid submit with one field replaced, or omitted if the value is null. */
  private static PendingRequest requestWith(String field, String value) throws Exception {
    Map<String, String> fields = new HashMap<>(ThriftTestFrames.FIELDS);
    if (value == null) {
      fields.remove(field);
    } else {
      fields.put(field, value);
    }
    NameDirectory names =
        new NameDirectory(
            TestPlatformSettings.routerSettings(),
            Map.of("again", 0, "once", 1),
            Map.of("shop", 0));
    return SubmitRequestDecoder.decode(
        ThriftMessageDecoder.decode(ThriftTestFrames.submitFrame(fields, new byte[0], 1)),
        names,
        Duration.ofSeconds(1),
        null);
  }

  @Test
  void decodesFieldsIntoRequest() throws Exception {
    PendingRequest request = requestWith("effort", "8.2");
    assertThat(request.deadline()).isEqualTo(Duration.ofMillis(1900));
    assertThat(request.durationHint()).isEqualTo(Duration.ofNanos(8_200_000));
    assertThat(request.memoryMb()).isEqualTo(512);
    assertThat(request.slots()).isEqualTo(2);
    assertThat(requestWith("effort", null).durationHint()).isNull();
  }

  /** Clients round their numbers, so the hint of a very short execution time may be 0.0. */
  @ParameterizedTest
  @CsvSource({
    "effort,0",
    "effort,0.0",
    "extras,load_ms:0.0;memory_mb:100",
    "extras,memory_mb:0;lanes:2"
  })
  void acceptsNumberRoundedToZero(String field, String value) throws Exception {
    assertThat(requestWith(field, value)).isNotNull();
  }

  @ParameterizedTest
  @CsvSource(
      nullValues = "null",
      value = {
        "service,null",
        "service,other",
        "ref,null",
        "ref,12",
        "ref,9b1f03aa5c7e2d4g",
        "allow,null",
        "allow,0",
        "allow,-5",
        "allow,NaN",
        "allow,1e300",
        "allow,2001",
        "allow,Infinity",
        "allow,0x1p3",
        "project,null",
        "project,nobody",
        "lookup,null",
        "lookup,7f3a9c21e0b4d65500",
        "effort,-1",
        "effort,many",
        "effort,1e99",
        "extras,memory_mb",
        "extras,lanes:1e9",
        "extras,memory_mb:-3",
        "extras,load_ms:soon"
      })
  void errorNamesMissingOrInvalidField(String field, String value) {
    assertThatThrownBy(() -> requestWith(field, value))
        .isInstanceOf(InvalidSubmitException.class)
        .hasMessage(field);
  }
}
