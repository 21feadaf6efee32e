package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Frames are decoded completely regardless of how the bytes are split, and a length out of bounds
 * is rejected.
 */
class FrameDecoderTest {
  private static final int MAX_FRAME_BYTES = 3000;

  private final FrameDecoder decoder = new FrameDecoder(MAX_FRAME_BYTES);
  private final List<byte[]> frames = new ArrayList<>();

  private static byte[] payload(int length) {
    byte[] bytes = new byte[length];
    for (int i = 0; i < length; i++) {
      bytes[i] = (byte) (i * 31);
    }
    return bytes;
  }

  private static ByteBuffer encode(byte[]... payloads) {
    ByteBuffer encoded = ByteBuffer.allocate(4 * MAX_FRAME_BYTES);
    for (byte[] payload : payloads) {
      encoded.putInt(payload.length).put(payload);
    }
    return encoded.flip();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 4, 5, 700, 10_000})
  void decodesFramesForAnySizeOfPieces(int pieceBytes) {
    ByteBuffer encoded = encode(payload(1), payload(MAX_FRAME_BYTES), payload(600));
    while (encoded.hasRemaining()) {
      int length = Math.min(pieceBytes, encoded.remaining());
      ByteBuffer piece = encoded.slice(encoded.position(), length);
      encoded.position(encoded.position() + length);
      assertThat(decoder.decode(piece, frames::add)).isTrue();
      assertThat(piece.hasRemaining()).isFalse();
    }
    assertThat(frames).containsExactly(payload(1), payload(MAX_FRAME_BYTES), payload(600));
    assertThat(decoder.hasPartialFrame()).isFalse();
  }

  @Test
  void reportsPartialFrameFromFirstByteToLast() {
    assertThat(decoder.hasPartialFrame()).isFalse();
    ByteBuffer encoded = encode(payload(2));
    while (encoded.hasRemaining()) {
      decoder.decode(ByteBuffer.wrap(new byte[] {encoded.get()}), frames::add);
      assertThat(decoder.hasPartialFrame()).isEqualTo(encoded.hasRemaining());
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, -1, MAX_FRAME_BYTES + 1, Integer.MAX_VALUE})
  void rejectsLengthOutOfBounds(int length) {
    ByteBuffer encoded = ByteBuffer.allocate(8).putInt(length).putInt(0).flip();
    assertThat(decoder.decode(encoded, frames::add)).isFalse();
    assertThat(decoder.frameLength()).isEqualTo(length);
    assertThat(frames).isEmpty();
  }
}
