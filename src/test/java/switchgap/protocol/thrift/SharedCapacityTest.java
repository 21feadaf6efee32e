package switchgap.protocol.thrift;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The dynamic threshold by which connections share a capacity. */
class SharedCapacityTest {
  private static final int CAPACITY = 1000;

  private static void fill(SharedCapacity.Share share) {
    while (!share.isExceeded()) {
      share.add(1);
    }
  }

  /** The holders take turns until each exceeds its share. */
  private static void fillInTurns(List<SharedCapacity.Share> shares) {
    for (int i = 0; i < CAPACITY; i++) {
      shares.stream().filter(share -> !share.isExceeded()).forEach(share -> share.add(1));
    }
  }

  @Test
  void oneHolderLeavesAsMuchAsItUses() {
    SharedCapacity capacity = new SharedCapacity(CAPACITY, CAPACITY);
    fill(capacity.newShare());
    assertThat(capacity.used()).isBetween(CAPACITY / 2L, CAPACITY / 2L + 1);
  }

  @Test
  void manyHoldersLeaveOneMoreShareFree() {
    SharedCapacity capacity = new SharedCapacity(CAPACITY, CAPACITY);
    fillInTurns(IntStream.range(0, 9).mapToObj(holder -> capacity.newShare()).toList());
    assertThat(capacity.used()).isBetween(9 * CAPACITY / 10L, 9 * (CAPACITY / 10L + 1));
    assertThat(capacity.newShare().isExceeded()).isFalse();
  }

  @Test
  void shareIsLimitedHoweverMuchIsFree() {
    SharedCapacity capacity = new SharedCapacity(CAPACITY, 100);
    fill(capacity.newShare());
    assertThat(capacity.used()).isEqualTo(101);
  }

  @Test
  void releasedShareCountsNothingAnyMore() {
    SharedCapacity capacity = new SharedCapacity(CAPACITY, CAPACITY);
    SharedCapacity.Share share = capacity.newShare();
    share.add(10);
    share.release();
    share.add(5);
    share.subtract(5);
    share.release();
    assertThat(capacity.used()).isZero();
    assertThat(share.isEmpty()).isTrue();
  }
}
