package switchgap.protocol.resp;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.protocol.resp.RespTestStrings.bytes;
import static switchgap.protocol.resp.RespTestStrings.decode;

import org.junit.jupiter.api.Test;

/** The wire format of each command. */
class RespCommandTest {
  @Test
  void encodesEachCommandWithItsWordsOnTheWire() throws Exception {
    assertThat(decode(RespCommand.execute("id", "batch", "f", 250, bytes("b"))))
        .containsExactly("DO", "id", "profile=batch,thing=f,max=250", "b");
    assertThat(decode(RespCommand.cancel("id"))).containsExactly("UNDO", "id");
    assertThat(decode(RespCommand.load("t1", "f", 2)))
        .containsExactly("PIN", "t1", "thing=f,count=2");
    assertThat(decode(RespCommand.unload("f"))).containsExactly("UNPIN", "f");
    assertThat(decode(RespCommand.reportLoad("t1"))).containsExactly("METER", "t1");
  }
}
