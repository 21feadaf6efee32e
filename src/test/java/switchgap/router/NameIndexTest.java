package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import switchgap.testing.ReachableObjects;

class NameIndexTest {
  @Test
  void reusesReleasedIndices() {
    NameIndex names = new NameIndex();

    for (int i = 0; i < 100_000; i++) {
      names.release(names.allocate("name-" + i));
    }

    assertThat(names.allocate("last")).isZero();
    assertThat(ReachableObjects.count(names)).isLessThan(10);
  }
}
